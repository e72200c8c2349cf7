"""Exceptions of the expert maps."""

__all__ = ["ExpertError", "InvalidMapError"]


class ExpertError(Exception):
    """Base of the exceptions of this subject."""


class InvalidMapError(ExpertError, ValueError):
    """An expert map that no group of ranks can run."""
