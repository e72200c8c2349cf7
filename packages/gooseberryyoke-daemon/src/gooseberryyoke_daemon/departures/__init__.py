"""Departures of servers in the durable state, settled before they are acknowledged."""

from gooseberryyoke_daemon.departures.keeper import DepartureKeeper
from gooseberryyoke_daemon.departures.store import (
    DepartureStore,
    decode_departures,
    log_departure,
)

__all__ = ["DepartureKeeper", "DepartureStore", "decode_departures", "log_departure"]
