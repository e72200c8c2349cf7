"""Replicas that find one another, and take the seats of those that are gone."""

from gooseberryyoke_daemon.seats.peer import SeatPeer, SeatPeers

# The keeper brings the replica and its storage along, which only control processes
# run; each other process would pay for them at every start.
__all__ = ["SeatPeer", "SeatPeers"]
