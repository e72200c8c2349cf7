"""Routing: the route table with its services, client accounts and limits."""

from gooseberryyoke.routing.account import ClientAccount
from gooseberryyoke.routing.check import find_errors
from gooseberryyoke.routing.limits import CallerLimits
from gooseberryyoke.routing.route import Route, RouteKind, Split
from gooseberryyoke.routing.service import ModelPace, RoutedService
from gooseberryyoke.routing.table import RouteTable
from gooseberryyoke.routing.urgency import urgency

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "ModelPace",
    "Route",
    "RouteKind",
    "RouteTable",
    "RoutedService",
    "Split",
    "find_errors",
    "urgency",
]
