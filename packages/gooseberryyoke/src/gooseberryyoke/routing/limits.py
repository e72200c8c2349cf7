"""Bounds on what callers send."""

from gooseberryyoke.record import Record

__all__ = ["CallerLimits"]


class CallerLimits(Record):
    """
    What an entry takes from a caller's connection.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Longest head and body of a request.
    head_s : float
        Time for a request to arrive, in seconds.
    idle_s : float
        For which callers count on an idle connection to stay open, in seconds.
    """

    __slots__ = ("head_bytes", "body_bytes", "head_s", "idle_s")

    def __init__(self, head_bytes=16384, body_bytes=4194304, head_s=3.0, idle_s=15.0):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.idle_s = idle_s
