"""Evacuations of data centres in the durable state, and who is told of them."""

from gooseberryyoke_daemon.evacuations.probe import EvacuationProbe
from gooseberryyoke_daemon.evacuations.store import (
    EvacuationStore,
    OrderOvertaken,
    UnknownDataCentre,
)
from gooseberryyoke_daemon.evacuations.told import ToldEvacuations

__all__ = [
    "EvacuationProbe",
    "EvacuationStore",
    "OrderOvertaken",
    "ToldEvacuations",
    "UnknownDataCentre",
]
