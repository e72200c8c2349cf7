"""Replicas that find one another, and take the seats of those that are gone."""

from gooseberryyoke_daemon.seats.keeper import SeatKeeper
from gooseberryyoke_daemon.seats.peer import SeatPeer, SeatPeers
from gooseberryyoke_daemon.seats.stored import SeatFile

__all__ = ["SeatFile", "SeatKeeper", "SeatPeer", "SeatPeers"]
