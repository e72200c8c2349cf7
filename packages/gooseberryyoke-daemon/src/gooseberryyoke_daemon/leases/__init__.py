"""Leases with fencing numbers, kept in registers."""

from gooseberryyoke_daemon.leases.keeper import LeaseKeeper

__all__ = ["LeaseKeeper"]
