"""Leases with fencing numbers, for whatever needs one holder."""

from gooseberryyoke.lease.candidate import is_candidate
from gooseberryyoke.lease.fencing import FencingGate, StaleNumber
from gooseberryyoke.lease.lease import (
    Grant,
    Lease,
    LeaseView,
    Renew,
    Take,
    Wait,
    lease_from_value,
    lease_key,
)

__all__ = [
    "FencingGate",
    "Grant",
    "Lease",
    "LeaseView",
    "Renew",
    "StaleNumber",
    "Take",
    "Wait",
    "is_candidate",
    "lease_from_value",
    "lease_key",
]
