"""Exceptions raised for bundles and their signing keys."""

__all__ = ["UnusableKeyError"]


class UnusableKeyError(ValueError):
    """Raised if a text isn't an Ed25519 key of the expected type."""
