"""Requests that wait for a place at a server: in which order, and how long.

The load that this answers: after a loss of power, or when a group of engines breaks,
a few seconds' worth of requests comes at once. Served in the order of arrival, each
later request is late for as long as it takes to work the backlog off, some eight
seconds at two thirds of full load. Served with those first that can still be on time,
only the backlog is late.
"""

from collections import deque

from gooseberryyoke.record import Record

__all__ = ["Waiter", "WaitingLine"]

_FIRST_ANSWER_S = 0.2
"""From a free place to the first event of a draft, the median of a calm day."""
_LONGEST_WAIT_S = 0.5
"""A little over the 0.4 s within which an answer is on time. With half of the engines
gone for seconds, a day is worth 0.50 so, and 0.36 at 1.7 s: who waits longer is late,
and takes the place of one who would not be."""
_RATE_WINDOW_S = 2.0
_LEAST_RETRY_S = 0.3
_LONGEST_RETRY_S = 2.5
"""Callers come back after at most a third of the eight seconds that they have."""


class Waiter(Record):
    """
    A request that waits.

    Parameters
    ----------
    arrived_s : float
    on_time_until_s : float
        When its answer must begin to be on time.
    deadline_s : float
        When its time is over.
    is_last_try : bool
        Its caller has tried before, and may not come back.
    priority : int
        0 is the most urgent.
    """

    __slots__ = (
        "arrived_s",
        "on_time_until_s",
        "deadline_s",
        "is_last_try",
        "priority",
    )

    def __init__(self, arrived_s, on_time_until_s, deadline_s, is_last_try, priority=1):
        self.priority = priority
        self.arrived_s = arrived_s
        self.on_time_until_s = on_time_until_s
        self.deadline_s = deadline_s
        self.is_last_try = is_last_try

    def can_be_on_time(self, now):
        """Tell whether a place now would be soon enough."""
        return now + _FIRST_ANSWER_S <= self.on_time_until_s

    @property
    def until_s(self):
        """When waiting ends."""
        return min(self.deadline_s, self.arrived_s + _LONGEST_WAIT_S)

    def __eq__(self, other):
        return self is other

    def __hash__(self):
        return id(self)


class WaitingLine:
    """Those who wait for one service at one entry."""

    __slots__ = ("_waiters", "_begun")

    def __init__(self):
        self._waiters = []
        self._begun = deque()

    def __len__(self):
        return len(self._waiters)

    def note_begun(self, now):
        """
        Note that a request got a place, waiting or not.

        Parameters
        ----------
        now : float
            In seconds.
        """
        self._begun.append(now)
        self._drop_old(now)

    def _drop_old(self, now):
        while self._begun and now - self._begun[0] > _RATE_WINDOW_S:
            self._begun.popleft()

    def predicted_wait_s(self, now, least_rate):
        """
        Predict how long the last in line would wait.

        Parameters
        ----------
        now : float
            In seconds.
        least_rate : float
            Requests a second for which servers have places in any case; an entry
            that has just started has seen none begin.

        Returns
        -------
        float
        """
        return (len(self._waiters) + 1) / self._rate(now, least_rate)

    def _rate(self, now, least_rate):
        self._drop_old(now)
        return max(least_rate, len(self._begun) / _RATE_WINDOW_S)

    def _will_be_on_time(self, waiter, now, least_rate):
        # The punctual go first, so that only they are before it.
        ahead = sum(other.can_be_on_time(now) for other in self._waiters)
        wait_s = (ahead + 1) / self._rate(now, least_rate)
        return waiter.can_be_on_time(now + wait_s)

    def admit(self, waiter, now, least_rate=1.0):
        """
        Let a request wait, or say when to come back.

        Parameters
        ----------
        waiter : Waiter
        now : float
            In seconds.
        least_rate : float
            See `predicted_wait_s`.

        Returns
        -------
        float or None
            Seconds until coming back makes sense; None if it may wait.

        Notes
        -----
        Who comes for the last time waits even if that will hardly do: a refusal
        would be the end for certain.
        """
        wait_s = self.predicted_wait_s(now, least_rate)
        is_hopeless = wait_s > _LONGEST_WAIT_S and not self._will_be_on_time(
            waiter, now, least_rate
        )
        if is_hopeless and not waiter.is_last_try:
            return min(_LONGEST_RETRY_S, max(_LEAST_RETRY_S, wait_s))
        self._waiters.append(waiter)
        return None

    def leave(self, waiter):
        """Take a request out of the line."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def next(self, now):
        """
        Take the request out that gets the next place.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        Waiter or None
        """

        def order(waiter):
            is_late = not waiter.can_be_on_time(now)
            is_first_try = not waiter.is_last_try
            return (is_late, waiter.priority, is_first_try, waiter.arrived_s)

        first = min(self._waiters, key=order, default=None)
        if first is not None:
            self._waiters.remove(first)
        return first
