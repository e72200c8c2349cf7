"""Exceptions raised when orders are decoded."""

__all__ = ["MalformedOrderError"]


class MalformedOrderError(ValueError):
    """Raised if a value can't be decoded as an order."""
