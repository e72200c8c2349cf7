"""Check of what servers receive against a retry limit."""

from bisect import bisect_left

__all__ = ["RetryLimitCheck"]

_TOLERANCE_S = 1e-6
"""A window that ends at an arrival has to contain it, whatever the rounding."""


class RetryLimitCheck:
    """
    Check of the arrivals at the servers of one service against a retry limit.

    Requests are counted in the same window as the retries, in the one before it or in
    the one half a window before it, whichever has the most.

    Parameters
    ----------
    limit : RetryLimit
    """

    __slots__ = ("_limit", "_requests_s", "_retries_s", "_arrived")

    def __init__(self, limit):
        self._limit = limit
        self._requests_s = []
        self._retries_s = []
        self._arrived = set()

    def record_request(self, at_s):
        """Record that a caller sends a request, in seconds on any clock."""
        self._requests_s.append(at_s)

    def record_arrival(self, attempt_id, at_s):
        """Record that a request reaches a server, in seconds on the same clock."""
        if attempt_id in self._arrived:
            self._retries_s.append(at_s)
        self._arrived.add(attempt_id)

    @property
    def retries(self):
        """Number of arrivals beyond the first of each request."""
        return len(self._retries_s)

    def violations(self):
        """
        Describe the windows with more retries than allowed.

        Returns
        -------
        list of str
            The worst window first.
        """
        self._requests_s.sort()
        self._retries_s.sort()
        window_s = self._limit.window_s
        starts_s = {*self._retries_s, *(at_s - window_s for at_s in self._retries_s)}
        found = []
        for start_s in sorted(starts_s):
            retries = self._count(self._retries_s, start_s, _TOLERANCE_S)
            requests = self._requests_for(start_s)
            allowed = self._limit.slack + self._limit.ratio * requests
            if retries > allowed:
                text = (
                    f"{retries} retries in {window_s:g} s from {start_s:.2f} s, "
                    f"for {requests} requests; {allowed:.1f} allowed"
                )
                found.append((allowed - retries, text))
        return [text for _, text in sorted(found)]

    def _requests_for(self, start_s):
        window_s = self._limit.window_s
        offsets_s = (0.0, window_s / 2, window_s)
        return max(self._count(self._requests_s, start_s - o) for o in offsets_s)

    def _count(self, times_s, start_s, tolerance_s=0.0):
        end_s = start_s + self._limit.window_s
        first = bisect_left(times_s, start_s - tolerance_s)
        return bisect_left(times_s, end_s + tolerance_s) - first
