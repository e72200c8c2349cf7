"""Errors of announcements."""

__all__ = ["AnnouncementError"]


class AnnouncementError(ValueError):
    """A message that is no announcement."""
