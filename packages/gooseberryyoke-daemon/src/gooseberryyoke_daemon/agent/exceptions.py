"""Errors of the agent."""

__all__ = ["OrderError"]


class OrderError(ValueError):
    """A message that is no order for an attempt."""
