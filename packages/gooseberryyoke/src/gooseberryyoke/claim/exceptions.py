"""Exceptions of claims."""

__all__ = ["UnreadableClaim"]


class UnreadableClaim(ValueError):
    """A register holds something else than a claim."""
