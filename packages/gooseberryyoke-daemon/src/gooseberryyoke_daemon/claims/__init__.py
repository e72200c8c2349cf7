"""Claims of requests that may run once, kept in registers."""

from gooseberryyoke_daemon.claims.keeper import ClaimKeeper, ClaimLost, HeldClaim
from gooseberryyoke_daemon.claims.resolver import ClaimResolver, Proceed
from gooseberryyoke_daemon.claims.sweeper import ClaimSweeper

__all__ = [
    "ClaimKeeper",
    "ClaimLost",
    "ClaimResolver",
    "ClaimSweeper",
    "HeldClaim",
    "Proceed",
]
