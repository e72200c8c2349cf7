"""Exceptions of the package for expert maps."""

__all__ = ["ExpertError", "InvalidMapError", "MalformedMessageError"]


class ExpertError(Exception):
    """Base class of the exceptions of this package."""


class InvalidMapError(ExpertError, ValueError):
    """Raised for an expert map that no group of ranks can run."""


class MalformedMessageError(ExpertError, ValueError):
    """Raised for a message whose kind is unknown or whose fields don't match it."""
