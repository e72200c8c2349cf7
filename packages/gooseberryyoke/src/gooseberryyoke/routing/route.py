"""Routes: what is known of a request before it is placed."""

from enum import Enum

from gooseberryyoke.record import Record

__all__ = ["Route", "RouteKind", "Split"]


class RouteKind(Enum):
    """Whether a request may be run again, and how its answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class Split(Record):
    """
    A service's part in a route's requests.

    Parameters
    ----------
    service : str
    weight : int
        Against the sum of the route's weights.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route(Record):
    """
    One path prefix of one host.

    Parameters
    ----------
    name, host, path_prefix : str
        The prefix begins and ends with a slash.
    kind : RouteKind
    splits : tuple of Split
        Services that share the requests.
    timeout_s : float
        Longest time for which a request may be held, in seconds.
    target_s : float
        Within which an answer, or a stream's first event, is on time.
    target_gap_s : float or None
        Longest pause between events of a stream that is on time.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most backend servers that one request may be sent to.
    is_public : bool
        No key is needed.
    is_resumable : bool
        A stream may go on at another server after its last whole event.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "splits",
        "timeout_s",
        "target_s",
        "target_gap_s",
        "priority",
        "max_attempts",
        "is_public",
        "is_resumable",
    )

    def __init__(
        self,
        name,
        host,
        path_prefix,
        kind,
        splits,
        timeout_s,
        target_s=1.0,
        target_gap_s=None,
        priority=1,
        max_attempts=1,
        is_public=False,
        is_resumable=False,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.splits = tuple(splits)
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.target_gap_s = target_gap_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.is_public = is_public
        self.is_resumable = is_resumable

    @property
    def may_repeat(self):
        """Whether a request that may have run may be run once more."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def pick_service(self, rng):
        """
        Draw a service by the weights.

        Parameters
        ----------
        rng : random.Random

        Returns
        -------
        str
        """
        if len(self.splits) == 1:
            return self.splits[0].service
        services = [split.service for split in self.splits]
        weights = [split.weight for split in self.splits]
        return rng.choices(services, weights)[0]
