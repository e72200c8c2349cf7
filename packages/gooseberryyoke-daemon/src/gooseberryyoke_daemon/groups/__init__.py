"""Groups of ranks: the agent's side of map changes and orders, and their drivers."""

from gooseberryyoke_daemon.groups.armed_driver import ArmedDriver
from gooseberryyoke_daemon.groups.driver import MapDriver
from gooseberryyoke_daemon.groups.hold_watch import HoldWatch
from gooseberryyoke_daemon.groups.members import GroupMembers
from gooseberryyoke_daemon.groups.rank_agent import RankAgent
from gooseberryyoke_daemon.groups.rank_orders import OrderReply, RankOrders
from gooseberryyoke_daemon.groups.routes import GroupRoutes

__all__ = [
    "ArmedDriver",
    "GroupMembers",
    "GroupRoutes",
    "HoldWatch",
    "MapDriver",
    "OrderReply",
    "RankAgent",
    "RankOrders",
]
