"""Limit the memory that a process uses for peers that send or read slowly."""

from gooseberryyoke.buffering.held_bytes import HeldBytes, Holding

__all__ = ["HeldBytes", "Holding"]
