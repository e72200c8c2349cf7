"""Leases with fencing numbers, for roles that one process at a time may hold."""

from gooseberryyoke.lease.candidate import is_candidate
from gooseberryyoke.lease.fencing import FencingGate, StaleNumber
from gooseberryyoke.lease.lease import (
    Acquire,
    Grant,
    Lease,
    LeaseView,
    Renew,
    Wait,
    lease_from_value,
    lease_key,
)

__all__ = [
    "Acquire",
    "FencingGate",
    "Grant",
    "Lease",
    "LeaseView",
    "Renew",
    "StaleNumber",
    "Wait",
    "is_candidate",
    "lease_from_value",
    "lease_key",
]
