"""Selects a backend server from delayed load reports and the entry's own dispatches."""

from gooseberryyoke.balance.choice import Choice
from gooseberryyoke.balance.choose import choose
from gooseberryyoke.balance.demand import PREFIX_BLOCK_TOKENS, Demand
from gooseberryyoke.balance.fleet import Fleet
from gooseberryyoke.balance.policy import POLICIES, Policy
from gooseberryyoke.balance.prefix import PrefixIndex
from gooseberryyoke.balance.report import LoadReport
from gooseberryyoke.balance.view import ServerView

__all__ = [
    "POLICIES",
    "PREFIX_BLOCK_TOKENS",
    "Choice",
    "Demand",
    "Fleet",
    "LoadReport",
    "Policy",
    "PrefixIndex",
    "ServerView",
    "choose",
]
