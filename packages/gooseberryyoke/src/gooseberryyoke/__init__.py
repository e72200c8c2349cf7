"""Decisions and state machines of the load balancer, without I/O or a clock."""

__all__ = ["__version__"]

__version__ = "0.1.0"
