"""Selects the services managed for contention, from the operator's routes."""

from gooseberryyoke.contention.policy import ContentionPolicy

__all__ = ["ContentionPolicy"]
