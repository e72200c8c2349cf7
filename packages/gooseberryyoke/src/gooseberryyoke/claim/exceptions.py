"""Exceptions raised when claims are decoded."""

__all__ = ["MalformedClaimError"]


class MalformedClaimError(ValueError):
    """Raised if a register's value can't be decoded as a claim."""
