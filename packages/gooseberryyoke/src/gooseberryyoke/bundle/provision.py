"""What a bundle sets for the durable state, retries, placement and planned stops."""

from gooseberryyoke.record import Record

__all__ = ["Durable", "Placement", "Replica", "RetryLimits", "Stop"]


class Replica(Record):
    """
    One replica of the durable state.

    Parameters
    ----------
    id : str
    address : str
        IP number and port.
    """

    __slots__ = ("id", "address")

    def __init__(self, id, address):
        self.id = id
        self.address = address


class Durable(Record):
    """
    The durable state.

    Parameters
    ----------
    replicas : tuple of Replica
    claim_retention_s : float
        How long the answer to a call that may not be repeated is kept; longer than
        any caller goes on trying.
    bundle_lease_s : float
        How long an entry serves by a bundle that it can't confirm as the newest.
    """

    __slots__ = ("replicas", "claim_retention_s", "bundle_lease_s")

    def __init__(self, replicas, claim_retention_s, bundle_lease_s):
        self.replicas = replicas
        self.claim_retention_s = claim_retention_s
        self.bundle_lease_s = bundle_lease_s


class RetryLimits(Record):
    """
    The budget of retries.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    attempts : int
        Most attempts of one request, the first one included.
    """

    __slots__ = ("ratio", "attempts")

    def __init__(self, ratio, attempts):
        self.ratio = ratio
        self.attempts = attempts


class Placement(Record):
    """
    Placement of experts: what skew and moves are held to cost.

    Parameters
    ----------
    skew_weight : float
        Cost of one second of step time that the slowest rank adds in an hour.
    move_cost_weight : float
        Cost of moving one expert.
    moves_per_hour : int
        Most moves of experts in an hour, for one group.
    weight_store_bytes_per_s : float
        Rate at which the weight store may be read for moves.
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
    Planned stops.

    Parameters
    ----------
    max_age_s : float
        How long callers keep the answer to "which address"; an entry that stops goes
        on accepting requests for as long.
    drain_s : float
        Longest wait for requests in flight after that.
    """

    __slots__ = ("max_age_s", "drain_s")

    def __init__(self, max_age_s, drain_s):
        self.max_age_s = max_age_s
        self.drain_s = drain_s
