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
    awaited_tokens : int
        Prompt tokens to prefill until its first token; 0 after that.
    """

    __slots__ = ("at_s", "demand", "awaited_tokens")

    def __init__(self, at_s, demand, awaited_tokens=0):
        self.at_s = at_s
        self.demand = demand
        self.awaited_tokens = awaited_tokens
