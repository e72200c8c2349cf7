"""Exceptions of registers."""

__all__ = ["UndecodableRecord"]


class UndecodableRecord(ValueError):
    """A value is not an encoded message or change."""
