"""An attempt that an entry has sent to a server."""

from gooseberryyoke.record import Record

__all__ = ["Sent"]


class Sent(Record):
    """
    An attempt that an entry has sent to a server.

    Parameters
    ----------
    at_s : float
        When it was sent.
    demand : Demand
        What it asks.
    """

    __slots__ = ("at_s", "demand")

    def __init__(self, at_s, demand):
        self.at_s = at_s
        self.demand = demand
