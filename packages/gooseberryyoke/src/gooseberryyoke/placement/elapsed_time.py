"""Estimate of the time that a caller has spent in earlier attempts."""

__all__ = ["ElapsedTimeEstimator"]

_MAX_ROUTES = 4096
_PATIENCE_SPREAD = 0.2
"""Fraction of the longest patience by which the patience of first attempts varies."""


class ElapsedTimeEstimator:
    """
    Estimator that compares the remaining patience with the longest seen on a route.

    A caller states how long it will still wait. First attempts on a route state similar
    values, so a value below their usual spread means that the difference was spent in
    earlier attempts.
    """

    __slots__ = ("_max_patience_s",)

    def __init__(self):
        self._max_patience_s = {}

    def min_elapsed_s(self, route, patience_s):
        """
        Compute a lower bound on the time that the caller has spent in attempts.

        Parameters
        ----------
        route : str
        patience_s : float
            Remaining patience in seconds; infinite if the caller stated none.

        Returns
        -------
        float
            In seconds.
        """
        if patience_s == float("inf"):
            return 0.0
        if len(self._max_patience_s) > _MAX_ROUTES:
            # Each table may add and remove routes, so old entries are dropped.
            self._max_patience_s.clear()
        max_patience_s = max(patience_s, self._max_patience_s.get(route, 0.0))
        self._max_patience_s[route] = max_patience_s
        return max(0.0, max_patience_s * (1 - _PATIENCE_SPREAD) - patience_s)
