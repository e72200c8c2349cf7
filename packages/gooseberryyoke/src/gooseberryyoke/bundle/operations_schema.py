"""Document schema of the durable state, retries, placement and planned stops."""

from gooseberryyoke.bundle.fields import NAME
from gooseberryyoke.bundle.operations import (
    DurableState,
    Placement,
    Replica,
    RetryLimits,
    Stop,
)
from gooseberryyoke.document import AddressField, Integer, Key, ListOf, Number, Section

__all__ = ["DURABLE", "PLACEMENT", "RETRIES", "STOP"]

_MAX_REPLICAS = 11
_DAY_S = 86_400

REPLICA = Section(
    Replica,
    Key("id", NAME, help="Never used again for another data folder."),
    Key("address", AddressField(), help="Where entries reach the replica."),
)

DURABLE = Section(
    DurableState,
    Key(
        "replicas",
        ListOf(REPLICA, min_items=1, max_items=_MAX_REPLICAS),
        help="Change one at a time.",
    ),
    Key(
        "claim_retention_s",
        Number(60, 90 * _DAY_S),
        default=float(_DAY_S),
        help="How long the answer to a call that may not be repeated is kept; longer "
        "than any caller goes on trying.",
    ),
    Key(
        "bundle_lease_s",
        Number(0.5, 60),
        default=4.0,
        help="How long an entry serves by a bundle that it can't confirm as the "
        "newest.",
    ),
)

RETRIES = Section(
    RetryLimits,
    Key(
        "ratio",
        Number(0, 1),
        default=0.08,
        help="Retries earned by each request; a few may be saved up.",
    ),
    Key(
        "attempts",
        Integer(1, 10),
        default=3,
        help="Most attempts of one request, the first one included.",
    ),
)

PLACEMENT = Section(
    Placement,
    Key(
        "skew_weight",
        Number(0, 1e9),
        default=1.0,
        help="Cost of a second that the slowest rank adds to steps in an hour.",
    ),
    Key(
        "move_cost_weight",
        Number(0, 1e9),
        default=1.0,
        help="Cost of moving one expert.",
    ),
    Key(
        "moves_per_hour",
        Integer(0, 1_000_000),
        default=60,
        help="Most moves of experts in an hour, for one group.",
    ),
    Key(
        "weight_store_bytes_per_s",
        Number(1, 1e13),
        default=1e9,
        help="Rate at which the weight store may be read for moves.",
    ),
)

STOP = Section(
    Stop,
    Key(
        "max_age_s",
        Number(1, 3600),
        default=10.0,
        help="How long callers keep the answer to `GET /v1/entries`; an entry that "
        "stops accepts requests for as long.",
    ),
    Key(
        "drain_s",
        Number(0, 86_400),
        default=600.0,
        help="Longest wait for requests in flight after that.",
    ),
)
