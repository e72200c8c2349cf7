"""Bundle records for the durable state, retries, placement and planned stops."""

from gooseberryyoke.record import Record

__all__ = ["DurableState", "Placement", "Replica", "RetryLimits", "Stop"]


class Replica(Record):
    """
    Replica of the durable state.

    Parameters
    ----------
    id : str
    address : str
        IP address and port.
    """

    __slots__ = ("id", "address")

    def __init__(self, id, address):
        self.id = id
        self.address = address


class DurableState(Record):
    """
    Configuration of the durable state.

    Parameters
    ----------
    replicas : tuple of Replica
    claim_retention_s : float
        Retention in seconds of the response to a non-repeatable call; it must be longer
        than any caller keeps retrying.
    bundle_lease_s : float
        Time in seconds for which an entry keeps using a bundle that it can't confirm
        as the newest.
    """

    __slots__ = ("replicas", "claim_retention_s", "bundle_lease_s")

    def __init__(self, replicas, claim_retention_s, bundle_lease_s):
        self.replicas = replicas
        self.claim_retention_s = claim_retention_s
        self.bundle_lease_s = bundle_lease_s


class RetryLimits(Record):
    """
    Retry budget.

    Parameters
    ----------
    ratio : float
        Retries that each request adds to the budget.
    attempts : int
        Maximum attempts per request, including the first.
    """

    __slots__ = ("ratio", "attempts")

    def __init__(self, ratio, attempts):
        self.ratio = ratio
        self.attempts = attempts


class Placement(Record):
    """
    Cost weights and limits for the placement of experts.

    Parameters
    ----------
    skew_weight : float
        Cost per second of step time that the slowest rank adds in an hour.
    move_cost_weight : float
        Cost of moving one expert.
    moves_per_hour : int
        Maximum number of expert moves per hour and group.
    weight_store_bytes_per_s : float
        Maximum read rate from the weight store for moves, in bytes per second.
    """

    __slots__ = (
        "skew_weight",
        "move_cost_weight",
        "moves_per_hour",
        "weight_store_bytes_per_s",
    )

    def __init__(
        self, skew_weight, move_cost_weight, moves_per_hour, weight_store_bytes_per_s
    ):
        self.skew_weight = skew_weight
        self.move_cost_weight = move_cost_weight
        self.moves_per_hour = moves_per_hour
        self.weight_store_bytes_per_s = weight_store_bytes_per_s


class Stop(Record):
    """
    Timing of planned stops.

    Parameters
    ----------
    max_age_s : float
        Time in seconds for which callers cache the list of entry addresses; a stopping
        entry continues to accept requests for as long.
    drain_s : float
        Maximum time in seconds to drain requests in flight after that.
    """

    __slots__ = ("max_age_s", "drain_s")

    def __init__(self, max_age_s, drain_s):
        self.max_age_s = max_age_s
        self.drain_s = drain_s
