"""Exceptions of the client."""

__all__ = ["EntryUnreachableError"]


class EntryUnreachableError(Exception):
    """An entry didn't answer; what was sent may have arrived."""
