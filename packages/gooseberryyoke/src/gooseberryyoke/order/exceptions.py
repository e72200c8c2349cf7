"""Exceptions of the orders."""

__all__ = ["MalformedOrderError"]


class MalformedOrderError(ValueError):
    """An order that can't be read."""
