"""Passive health check of one server, from the outcomes of a gateway's own requests."""

__all__ = ["ServerHealth"]

_MIN_FAILURE_EXCLUSION_S = 0.5
_MAX_DOUBLINGS = 10
_MAX_FAILURE_EXCLUSION_S = 30.0
"""For a server that crashed without notice, where each attempt to connect costs a
request 0.15 s. A server that restarts is a new incarnation without recorded
failures."""
_FULL_EXCLUSION_S = 0.05
_MIN_REFUSAL_EXCLUSION_S = 0.1
_MAX_REFUSAL_EXCLUSION_S = 1.6
"""For a server that refuses all requests although it has free slots: it looks idle, and
would be chosen more often than any other."""


class ServerHealth:
    """
    Exclusion of a server after failures, with exponential back-off.

    Failures are detected from ordinary requests only, as health probes would add load
    to the server.

    Attributes
    ----------
    excluded_until_s : float
        Time in seconds until which the server gets no request, unless all servers are
        excluded.
    failures : int
        Consecutive failures; failures during one exclusion count once.
    refusals : int
        Consecutive refusals, counted in the same way.
    """

    __slots__ = ("excluded_until_s", "failures", "refusals")

    def __init__(self):
        self.excluded_until_s = float("-inf")
        self.failures = 0
        self.refusals = 0

    def succeeded(self):
        """Record a complete answer, which ends the exclusion."""
        self.failures = 0
        self.refusals = 0
        self.excluded_until_s = float("-inf")

    def failed(self, now):
        """
        Record a request that got no answer.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self.is_excluded(now):
            # Concurrent requests fail together and count as one failure.
            return
        self.exclude(
            now,
            _exponential_s(
                _MIN_FAILURE_EXCLUSION_S, self.failures, _MAX_FAILURE_EXCLUSION_S
            ),
        )
        self.failures += 1

    def was_full(self, now):
        """
        Record a refusal by a server without free slots.

        Parameters
        ----------
        now : float
            In seconds.
        """
        self.exclude(now, _FULL_EXCLUSION_S)

    def refused(self, now):
        """
        Record a refusal by a server that has free slots.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self.is_excluded(now):
            return
        self.exclude(
            now,
            _exponential_s(
                _MIN_REFUSAL_EXCLUSION_S, self.refusals, _MAX_REFUSAL_EXCLUSION_S
            ),
        )
        self.refusals += 1

    def exclude(self, now, seconds):
        """
        Exclude the server for at least some time.

        Parameters
        ----------
        now, seconds : float
            In seconds.
        """
        self.excluded_until_s = max(self.excluded_until_s, now + seconds)

    def is_excluded(self, now):
        """Return whether the server is excluded at a time in seconds."""
        return now < self.excluded_until_s


def _exponential_s(min_s, doublings, max_s):
    return min(max_s, min_s * 2 ** min(doublings, _MAX_DOUBLINGS))
