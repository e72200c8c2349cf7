"""Exceptions of bundles."""

__all__ = ["UnusableKeyError"]


class UnusableKeyError(ValueError):
    """A key file doesn't hold an Ed25519 key of the expected kind."""
