"""Routes, which determine how a request is handled before a server is selected."""

from enum import Enum

from gooseberryyoke.record import Record

__all__ = ["Route", "RouteKind", "Split"]


class RouteKind(Enum):
    """Kind of route: whether requests may be repeated or responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class Split(Record):
    """
    Share of a route's requests that a service receives.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Weight of the service; its share is the weight over the sum of the route's
        weights.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route(Record):
    """
    Route for the requests to one path prefix of one host.

    Parameters
    ----------
    name, host, path_prefix : str
        Name of the route, and host and path prefix that it matches. The prefix begins
        and ends with a slash.
    kind : RouteKind
        Whether requests may be repeated or responses are streams.
    splits : tuple of Split
        Services that share the requests.
    timeout_s : float
        Maximum time for which a request may be held, in seconds.
    target_s : float
        Time within which a response, or the first event of a stream, is on time, in
        seconds.
    target_gap_s : float or None
        Maximum pause between the events of a stream that is on time, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Maximum number of backend servers that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may continue at another server after its last complete event.
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
        """Whether a request that may have been executed may be executed again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def pick_service(self, rng):
        """
        Choose a service at random, by the weights of the splits.

        Parameters
        ----------
        rng : random.Random
            Random number generator.

        Returns
        -------
        str
            Name of the service.
        """
        if len(self.splits) == 1:
            return self.splits[0].service
        services = [split.service for split in self.splits]
        weights = [split.weight for split in self.splits]
        return rng.choices(services, weights)[0]
