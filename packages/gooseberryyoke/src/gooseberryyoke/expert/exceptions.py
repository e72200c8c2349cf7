"""Exceptions of the expert maps."""

__all__ = ["ExpertError", "InvalidMapError", "MalformedMessageError"]


class ExpertError(Exception):
    """Base of the exceptions of this subject."""


class InvalidMapError(ExpertError, ValueError):
    """An expert map that no group of ranks can run."""


class MalformedMessageError(ExpertError, ValueError):
    """A message that is not what its kind says."""
