"""State of a request that waits for a place at a server."""

from gooseberryyoke.record import Record

__all__ = ["DEFAULT_FIRST_EVENT_S", "Waiter"]

DEFAULT_FIRST_EVENT_S = 0.2
"""Assumed time in seconds from getting a place to the first event of the answer, used
until it has been measured at a server."""
_MAX_WAIT_S = 1.3
"""Maximum time in seconds for which a request waits. Callers of streams disconnect
after two seconds without an event; the remaining 0.7 s is for the first event of a
heavily loaded server."""


class Waiter(Record):
    """
    A request that waits for a place.

    All times are in seconds on the same clock. Two waiters are equal only if they are
    the same object.

    Parameters
    ----------
    arrived_s : float
        Time of arrival.
    on_time_until_s : float
        Time by which the answer must begin to be on time.
    deadline_s : float
        Time at which the request expires.
    is_last_try : bool
        Whether the caller has tried before and may not retry again.
    urgency : int
        Lower values are more urgent.
    first_event_s : float
        Expected time from getting a place to the first event of the answer.
    refusals : int
        Number of servers that have refused the request since it arrived.
    account : str or None
        Name of the client account.
    is_due : bool
        Whether the caller has retried at the time assigned to it.
    """

    __slots__ = (
        "arrived_s",
        "on_time_until_s",
        "deadline_s",
        "is_last_try",
        "urgency",
        "first_event_s",
        "refusals",
        "account",
        "is_due",
    )

    def __init__(
        self,
        arrived_s,
        on_time_until_s,
        deadline_s,
        is_last_try,
        urgency=0,
        first_event_s=DEFAULT_FIRST_EVENT_S,
        refusals=0,
        account=None,
        is_due=False,
    ):
        self.account = account
        self.is_due = is_due
        self.refusals = refusals
        self.urgency = urgency
        self.arrived_s = arrived_s
        self.on_time_until_s = on_time_until_s
        self.deadline_s = deadline_s
        self.is_last_try = is_last_try
        self.first_event_s = first_event_s

    def can_be_on_time(self, now):
        """Return whether the answer would be on time if the request got a place now."""
        return now <= self.late_from_s

    @property
    def late_from_s(self):
        """Time after which a place is too late for an answer on time, in seconds."""
        return self.on_time_until_s - self.first_event_s

    @property
    def wait_until_s(self):
        """
        Time at which waiting ends, in seconds.

        If the request got a place later, its caller would disconnect before the first
        event.
        """
        return min(self.deadline_s - self.first_event_s, self.arrived_s + _MAX_WAIT_S)

    def __eq__(self, other):
        return self is other

    def __hash__(self):
        return id(self)
