"""What servers of a service may get beyond the first attempt of each request."""

from bisect import bisect_left

__all__ = ["RetryBoundCheck"]


class RetryBoundCheck:
    """
    Holds arrivals at the servers of one service against the bound on its retries.

    In any window, all gateways together may send a fraction of the requests for the
    service, and a number more, beyond the first attempt of each request. Requests are
    counted in the window, in the one before it or in the one half a window before it,
    whichever has most.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    slack : float
        Retries in a window whatever the requests are.
    window_s : float
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_s = []
        self._retries_s = []
        self._arrived = set()

    def requested(self, at_s):
        """Note that a caller sends a request, in seconds on any clock."""
        self._requests_s.append(at_s)

    def arrived(self, attempt_id, at_s):
        """Note that an attempt of a request reaches a server, on the same clock."""
        if attempt_id in self._arrived:
            self._retries_s.append(at_s)
        self._arrived.add(attempt_id)

    @property
    def retries(self):
        """Number of arrivals beyond the first of their request."""
        return len(self._retries_s)

    def faults(self):
        """
        Describe the windows that break the bound.

        Returns
        -------
        list of str
            The worst window first.
        """
        self._requests_s.sort()
        self._retries_s.sort()
        retries_s = self._retries_s
        starts_s = {*retries_s, *(at_s - self._window_s for at_s in retries_s)}
        found = []
        for start_s in starts_s:
            retries = self._count(self._retries_s, start_s, is_closed=True)
            requests, allowed = self._allowed(start_s)
            if retries > allowed:
                text = (
                    f"{retries} retries in {self._window_s:g} s from {start_s:.2f} s, "
                    f"for {requests} requests; {allowed:.1f} allowed"
                )
                found.append((allowed - retries, text))
        return [text for _, text in sorted(found)]

    def _allowed(self, start_s):
        offsets_s = (0.0, self._window_s, self._window_s / 2)
        requests = max(self._count(self._requests_s, start_s - o) for o in offsets_s)
        return requests, self._slack + self._ratio * requests

    def _count(self, times_s, start_s, is_closed=False):
        """Count the times in a window, its end included if it is closed."""
        end_s = start_s + self._window_s
        # Sums of floats: a window that ends at an arrival has to hold it.
        margin_s = 1e-6 if is_closed else 0.0
        first = bisect_left(times_s, start_s - margin_s)
        return bisect_left(times_s, end_s + margin_s) - first
