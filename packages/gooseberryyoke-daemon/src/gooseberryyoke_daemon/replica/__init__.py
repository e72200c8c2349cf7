"""The replica role: registers on a data folder, served to proposers."""

from gooseberryyoke_daemon.replica.replica import Replica
from gooseberryyoke_daemon.replica.succession import SeatOffer

__all__ = ["Replica", "SeatOffer"]
