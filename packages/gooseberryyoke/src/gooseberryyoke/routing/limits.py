"""Limits on the connections and requests of callers."""

from gooseberryyoke.record import Record

__all__ = ["CallerLimits"]


class CallerLimits(Record):
    """
    Limits that an entry applies to the connections and requests of callers.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Maximum lengths of the head and body of a request, in bytes.
    head_s : float
        Maximum time for a request to arrive, in seconds.
    idle_s : float
        How long callers may expect an idle connection to stay open, in seconds.
    """

    __slots__ = ("head_bytes", "body_bytes", "head_s", "idle_s")

    def __init__(self, head_bytes=16384, body_bytes=4194304, head_s=3.0, idle_s=15.0):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.idle_s = idle_s
