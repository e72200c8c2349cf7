"""Time to first output of one server."""

__all__ = ["ServerLatency"]

_GAIN = 0.25
_TTL_S = 4.0
"""Seconds after the last measurement for which it counts. Afterwards the latency of the
server is unknown, and it is sent a request that measures it again."""


class ServerLatency:
    """
    Exponentially smoothed time from sending a request to the start of its answer.

    Attributes
    ----------
    smoothed_s : float or None
        In seconds; None before the first measurement.
    """

    __slots__ = ("smoothed_s", "_updated_s")

    def __init__(self):
        self.smoothed_s = None
        self._updated_s = 0.0

    def observe(self, latency_s, now):
        """
        Add a measurement.

        Parameters
        ----------
        latency_s : float
            Time to the start of an answer, or the time waited so far if the answer has
            not begun, in seconds.
        now : float
            In seconds.
        """
        if self.smoothed_s is None or now - self._updated_s > _TTL_S:
            self.smoothed_s = latency_s
        else:
            self.smoothed_s += _GAIN * (latency_s - self.smoothed_s)
        self._updated_s = now

    def recent(self, now):
        """
        Return the smoothed latency unless it has expired.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float or None
            In seconds.
        """
        return self.smoothed_s if now - self._updated_s <= _TTL_S else None
