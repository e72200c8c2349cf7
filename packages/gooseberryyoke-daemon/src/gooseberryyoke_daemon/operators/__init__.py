"""The operators' port: roll a bundle, and watch."""

from gooseberryyoke_daemon.operators.approval import Approval
from gooseberryyoke_daemon.operators.evacuations import (
    EVACUATIONS_PATH,
    EvacuationRoutes,
)
from gooseberryyoke_daemon.operators.keeper import (
    Accepted,
    Conflict,
    HistoryLine,
    Keeper,
    NoMajority,
    OlderVersion,
)
from gooseberryyoke_daemon.operators.routes import OperatorRoutes

__all__ = [
    "EVACUATIONS_PATH",
    "Accepted",
    "Approval",
    "Conflict",
    "EvacuationRoutes",
    "HistoryLine",
    "Keeper",
    "NoMajority",
    "OlderVersion",
    "OperatorRoutes",
]
