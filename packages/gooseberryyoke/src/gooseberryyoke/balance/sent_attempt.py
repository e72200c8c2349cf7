"""Request attempts in flight at a backend server."""

from gooseberryyoke.record import Record

__all__ = ["SentAttempt"]


class SentAttempt(Record):
    """
    Request attempt that an entry has sent to a backend server.

    Parameters
    ----------
    at_s : float
        Time at which it was sent, in seconds on the entry's clock.
    demand : Demand
        Resources that the request needs.
    pending_prefill_tokens : int
        Prompt tokens to prefill before its first token; 0 after the first token.
    """

    __slots__ = ("at_s", "demand", "pending_prefill_tokens")

    def __init__(self, at_s, demand, pending_prefill_tokens=0):
        self.at_s = at_s
        self.demand = demand
        self.pending_prefill_tokens = pending_prefill_tokens
