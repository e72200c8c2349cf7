"""The replica role: registers on a data folder, served to proposers."""

from gooseberryyoke_daemon.replica.replica import Replica

__all__ = ["Replica"]
