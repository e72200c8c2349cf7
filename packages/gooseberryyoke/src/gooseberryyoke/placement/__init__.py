"""Choice of the server for a request, and the queue of requests while all are full."""

from gooseberryyoke.placement.backoff import (
    MAX_BACKOFF_S,
    ServerBackoff,
    parse_retry_after,
)
from gooseberryyoke.placement.choose import choose_server, median_latency
from gooseberryyoke.placement.cold import ColdLimit, ColdRate, SenderMembership
from gooseberryyoke.placement.concurrency import (
    PEER_LIMIT_TTL_S,
    GroupConcurrency,
    GroupSize,
)
from gooseberryyoke.placement.elapsed_time import ElapsedTimeEstimator
from gooseberryyoke.placement.group_health import GroupHealth
from gooseberryyoke.placement.health import ServerHealth
from gooseberryyoke.placement.latency import ServerLatency
from gooseberryyoke.placement.load import PEER_COUNT_TTL_S, ServerLoad
from gooseberryyoke.placement.places import (
    count_restraints,
    free_by_server,
    free_places,
    free_to_begin,
    kept_places,
    most_kept,
    reservable_slots,
)
from gooseberryyoke.placement.rate_limit import RateLimit, parse_rate_limit
from gooseberryyoke.placement.slot_changes import (
    MAX_ANNOUNCED_SERVERS,
    AnnouncedStarts,
    SlotChanges,
)
from gooseberryyoke.placement.slot_sharing import MAX_PASSES, SlotSharing
from gooseberryyoke.placement.waiter import DEFAULT_FIRST_EVENT_S, Waiter
from gooseberryyoke.placement.waiting import WaitingLine

__all__ = [
    "PEER_LIMIT_TTL_S",
    "MAX_BACKOFF_S",
    "MAX_PASSES",
    "MAX_ANNOUNCED_SERVERS",
    "PEER_COUNT_TTL_S",
    "DEFAULT_FIRST_EVENT_S",
    "GroupConcurrency",
    "ColdLimit",
    "ColdRate",
    "GroupHealth",
    "GroupSize",
    "AnnouncedStarts",
    "ElapsedTimeEstimator",
    "SlotSharing",
    "RateLimit",
    "SenderMembership",
    "ServerBackoff",
    "ServerHealth",
    "ServerLoad",
    "ServerLatency",
    "SlotChanges",
    "Waiter",
    "WaitingLine",
    "choose_server",
    "free_by_server",
    "free_places",
    "free_to_begin",
    "kept_places",
    "parse_retry_after",
    "parse_rate_limit",
    "reservable_slots",
    "most_kept",
    "count_restraints",
    "median_latency",
]
