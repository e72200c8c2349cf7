"""Ratio of all requests of a service to the entry's own requests."""

__all__ = ["LoadRatio"]

MEAN_WEIGHT = 0.02
MIN_OWN_REQUESTS = 0.05


class LoadRatio:
    """
    Ratio of all requests at a service's servers to this entry's own requests.

    It is estimated from load reports and used when the reports are stale.
    """

    __slots__ = ("_reported", "_own")

    def __init__(self):
        self._reported = 0.0
        self._own = 0.0

    def observe(self, reported, own):
        """
        Update the moving averages with one load report.

        Parameters
        ----------
        reported : int
            Number of requests at the server according to its report.
        own : int
            Number of this entry's requests in flight at the server.
        """
        self._reported += MEAN_WEIGHT * (reported - self._reported)
        self._own += MEAN_WEIGHT * (own - self._own)

    def ratio(self):
        """
        Return the estimated number of requests at a server per own request.

        Returns
        -------
        float
            At least 1; exactly 1 while the average number of own requests is below
            `MIN_OWN_REQUESTS`.
        """
        if self._own < MIN_OWN_REQUESTS:
            return 1.0
        return max(1.0, self._reported / self._own)
