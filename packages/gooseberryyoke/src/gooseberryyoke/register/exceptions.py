"""Exceptions raised while decoding records of registers."""

__all__ = ["UndecodableRecord"]


class UndecodableRecord(ValueError):
    """Raised for a value that is not an encoded message or change."""
