"""Exceptions raised when an announcement is invalid."""

__all__ = ["AnnouncementError"]


class AnnouncementError(ValueError):
    """Raised for a message that is not a valid announcement."""
