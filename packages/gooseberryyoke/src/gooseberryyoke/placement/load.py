"""Estimate of the load of one server."""

__all__ = ["PEER_COUNT_TTL_S", "ServerLoad"]

_REPORT_HALF_LIFE_S = 0.5
"""Time in which the weight of a server's load report halves, in seconds. Streams end
within a few seconds, so reports age quickly."""
PEER_COUNT_TTL_S = 3.0
"""Time to live of the request count of another gateway, in seconds. Each gateway sends
all of its counts every second; a gateway that sends none for so long has ended, and its
requests with it."""


class ServerLoad:
    """
    Requests in flight on a server.

    The estimate combines the requests of this gateway, the counts that other gateways
    send, and the load reports of the server.

    Attributes
    ----------
    own : int
        Requests of this gateway that the server has now.
    unknown_peers : int
        Other gateways that have sent no counts yet. Each is assumed to have as many
        requests on the server as this gateway, because after a simultaneous start all
        gateways send to the servers that appear to be free.
    """

    __slots__ = (
        "own",
        "unknown_peers",
        "_reported_others",
        "_reported_s",
        "_peer_counts",
        "_peer_total",
        "_next_expiry_s",
    )

    def __init__(self):
        self.own = 0
        self.unknown_peers = 0
        self._reported_others = 0.0
        self._reported_s = float("-inf")
        self._peer_counts = {}
        self._peer_total = 0
        self._next_expiry_s = float("inf")

    def observe_report(self, running, waiting, now):
        """
        Record a load report of the server.

        Parameters
        ----------
        running, waiting : int
            Requests from all gateways.
        now : float
            In seconds.
        """
        self._reported_others = max(0.0, running + waiting - self.own)
        self._reported_s = now

    def update_peer_count(self, gateway, count, now):
        """
        Record the number of requests that another gateway has on the server.

        Parameters
        ----------
        gateway : str
            Name of the other gateway.
        count : int
        now : float
            In seconds.
        """
        previous, _ = self._peer_counts.pop(gateway, (0, now))
        if count:
            self._peer_counts[gateway] = (count, now)
            expires_s = now + PEER_COUNT_TTL_S
            self._next_expiry_s = min(self._next_expiry_s, expires_s)
        self._peer_total += count - previous

    def _remove_expired_peer_counts(self, now):
        self._peer_counts = {
            gateway: (count, at)
            for gateway, (count, at) in self._peer_counts.items()
            if now - at < PEER_COUNT_TTL_S
        }
        self._peer_total = sum(count for count, _ in self._peer_counts.values())
        received_s = (at for _, at in self._peer_counts.values())
        self._next_expiry_s = min(received_s, default=float("inf")) + PEER_COUNT_TTL_S

    def expected(self, now):
        """
        Estimate the number of requests on the server.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
        """
        # The sum is cached, as each choice of a server calls this for every server, and
        # there may be many gateways.
        if now >= self._next_expiry_s:
            self._remove_expired_peer_counts(now)
        # The report covers requests of gateways that have lost power: the server still
        # works on them, and no other gateway counts them.
        others = self._peer_total + self.own * self.unknown_peers
        if not self._reported_others:
            return self.own + (others if others >= 0 else 0.0)
        age_s = max(0.0, now - self._reported_s)
        reported = self._reported_others * 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        return self.own + max(others, reported)
