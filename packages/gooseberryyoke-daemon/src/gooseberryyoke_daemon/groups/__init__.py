"""Groups of ranks: the agent's side of map changes and orders, and their driver."""

from gooseberryyoke_daemon.groups.driver import MapDriver
from gooseberryyoke_daemon.groups.rank_agent import RankAgent
from gooseberryyoke_daemon.groups.routes import GroupRoutes

__all__ = ["GroupRoutes", "MapDriver", "RankAgent"]
