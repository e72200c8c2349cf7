"""The process that callers connect to."""

from gooseberryyoke_daemon.entry.node import EntryNode

__all__ = ["EntryNode"]
