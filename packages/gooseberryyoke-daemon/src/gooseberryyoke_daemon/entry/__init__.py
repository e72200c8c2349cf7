"""The process that callers connect to."""

from gooseberryyoke_daemon.entry.node import EntryNode
from gooseberryyoke_daemon.entry.observer import Observer

__all__ = ["EntryNode", "Observer"]
