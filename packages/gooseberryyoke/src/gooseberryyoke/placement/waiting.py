"""Requests that wait for a place at a server: in which order, and how long.

The load that this answers: after a loss of power, or when a group of engines stood
still, a few seconds' worth of requests comes at once, and the servers have hardly more
places than the usual load needs. Served in the order of arrival, each later request is
late for as long as it takes to work the backlog off. Here those go first that can
still be on time. The backlog gets what they leave; who can't have a place of that
while its caller waits is told at once when to come back.
"""

from collections import deque

from gooseberryyoke.record import Record

__all__ = ["USUAL_FIRST_S", "Waiter", "WaitingLine"]

USUAL_FIRST_S = 0.2
"""From a free place to the first of an answer, while no server has shown it."""
_BORNE_WAIT_S = 1.3
"""Callers of streams leave after two seconds without an event; the rest is for the
first one of a crowded server."""
_HOPELESS_FACTOR = 2.0
"""A last try is refused only if its wait is predicted as so many times too long: the
prediction may be wrong, and a refusal is the end."""
_RATE_WINDOW_S = 2.0
_LEAST_RATE = 0.25
"""Places a second that are reckoned with while none becomes free at all."""
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
    first_s : float
        From getting a place to the first of the answer, in seconds.
    tries : int
        Servers that have turned it away since it arrived.
    """

    __slots__ = (
        "arrived_s",
        "on_time_until_s",
        "deadline_s",
        "is_last_try",
        "priority",
        "first_s",
        "tries",
    )

    def __init__(
        self,
        arrived_s,
        on_time_until_s,
        deadline_s,
        is_last_try,
        priority=1,
        first_s=USUAL_FIRST_S,
        tries=0,
    ):
        self.tries = tries
        self.priority = priority
        self.arrived_s = arrived_s
        self.on_time_until_s = on_time_until_s
        self.deadline_s = deadline_s
        self.is_last_try = is_last_try
        self.first_s = first_s

    def can_be_on_time(self, now):
        """Tell whether a place now would be soon enough."""
        return now <= self.late_from_s

    @property
    def late_from_s(self):
        """After which a place is too late for an answer on time."""
        return self.on_time_until_s - self.first_s

    @property
    def until_s(self):
        """When waiting ends: later its caller would leave before the first event."""
        return min(self.deadline_s - self.first_s, self.arrived_s + _BORNE_WAIT_S)

    def __eq__(self, other):
        return self is other

    def __hash__(self):
        return id(self)


class WaitingLine:
    """Those who wait for one service at one entry."""

    __slots__ = ("_waiters", "_begun", "_begun_late", "_promised", "_free_s")

    def __init__(self):
        self._waiters = []
        self._free_s = None
        self._begun = deque()
        self._begun_late = deque()
        self._promised = deque()

    def __len__(self):
        return len(self._waiters)

    def note_begun(self, now, is_late=False, has_waited=True):
        """
        Note that a request got a place, waiting or not.

        Parameters
        ----------
        now : float
            In seconds.
        is_late : bool
            It can't be on time any more.
        has_waited : bool
            No place was free when it came.
        """
        if not has_waited:
            self._free_s = now
        begun = self._begun_late if is_late else self._begun
        begun.append(now)
        _drop_old(begun, now)

    def put_back(self, waiter, now):
        """
        Let a request wait again that a server has turned away.

        Parameters
        ----------
        waiter : Waiter
        now : float
            In seconds.
        """
        begun = self._begun if waiter.can_be_on_time(now) else self._begun_late
        if begun:
            # It did not begin. Counted, tries at a group that refuses look like
            # fresh requests that need all places.
            begun.pop()
        self._waiters.append(waiter)

    def _rate(self, now, least_rate):
        _drop_old(self._begun, now)
        _drop_old(self._begun_late, now)
        rate = (len(self._begun) + len(self._begun_late)) / _RATE_WINDOW_S
        if self._free_s is None:
            self._free_s = now
        if now - self._free_s > _RATE_WINDOW_S:
            # No place was free for so long: what has begun is all that servers can do.
            return max(_LEAST_RATE, rate)
        return max(least_rate, rate)

    def _late_rate(self, now, least_rate):
        """Give the places a second that requests which can be on time leave over."""
        rate = self._rate(now, least_rate)
        # One more on both sides: before anything has begun, nothing speaks against
        # late requests; a service whose group forms anew would refuse them for want
        # of experience.
        late = len(self._begun_late) + 1
        return rate * late / (len(self._begun) + late)

    def predicted_wait_s(self, waiter, now, least_rate=1.0):
        """
        Predict how long a request would wait for its place.

        Parameters
        ----------
        waiter : Waiter
        now : float
            In seconds.
        least_rate : float
            Requests a second for which servers have places in any case; an entry
            that has just started has seen none begin.

        Returns
        -------
        float
        """
        others = [other for other in self._waiters if other is not waiter]
        fresh = sum(other.can_be_on_time(now) for other in others)
        wait_s = (fresh + 1) / self._rate(now, least_rate)
        if waiter.can_be_on_time(now + wait_s):
            return wait_s
        late = [other for other in others if not other.can_be_on_time(now)]
        if waiter.is_last_try:
            # First tries that are late come after it, and so do those who were told
            # to come back later than now.
            ahead = sum(other.is_last_try for other in late)
        else:
            ahead = len(late) + self._outstanding(now)
        return wait_s + (ahead + 1) / self._late_rate(now, least_rate)

    def _outstanding(self, now):
        """Count the callers that were told to come back, and whose time is to come."""
        while self._promised and self._promised[0] <= now:
            self._promised.popleft()
        return len(self._promised)

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
        Each refused request is told the time of its own turn, so that callers come
        back one after the other as places become free, and not all at once.
        """
        if self.is_hopeless(waiter, now, least_rate):
            return self.promise(waiter, now, least_rate)
        self._waiters.append(waiter)
        return None

    def is_hopeless(self, waiter, now, least_rate=1.0):
        """
        Tell whether a request will hardly get a place while its caller waits.

        Parameters
        ----------
        waiter : Waiter
            In the line or not.
        now : float
            In seconds.
        least_rate : float
            See `predicted_wait_s`.

        Returns
        -------
        bool
        """
        longest_s = waiter.until_s - now
        if waiter.is_last_try:
            longest_s *= _HOPELESS_FACTOR
        return self.predicted_wait_s(waiter, now, least_rate) > longest_s

    def promise(self, waiter, now, least_rate=1.0):
        """
        Tell a request that gets no place when its caller is to come back.

        Parameters
        ----------
        waiter : Waiter
        now : float
            In seconds.
        least_rate : float
            See `predicted_wait_s`.

        Returns
        -------
        float
            In seconds.
        """
        wait_s = self.predicted_wait_s(waiter, now, least_rate)
        retry_s = min(_LONGEST_RETRY_S, max(_LEAST_RETRY_S, wait_s))
        self._outstanding(now)
        self._promised.append(now + retry_s)
        return retry_s

    def leave(self, waiter):
        """Take a request out of the line."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def next(self, now, free=1, kept=0):
        """
        Take the request out that gets the next place.

        Parameters
        ----------
        now : float
            In seconds.
        free, kept : int
            Places that are free, and how many of them are kept for requests that can
            be on time: given to late ones, they are taken for as long as a stream
            lasts, and those that come next are late as well.

        Returns
        -------
        Waiter or None
            None also if all who wait are late, and no more places are free than are
            kept.
        """
        has_late_place = free > kept

        def order(waiter):
            is_late = not waiter.can_be_on_time(now)
            is_first_try = not waiter.is_last_try
            # Attempts are few: those that try a group which refuses take turns.
            return (
                *(is_late, waiter.priority, waiter.tries),
                *(is_first_try, waiter.arrived_s),
            )

        first = min(self._waiters, key=order, default=None)
        if first is None or not (has_late_place or first.can_be_on_time(now)):
            return None
        self._waiters.remove(first)
        return first


def _drop_old(times, now):
    while times and now - times[0] > _RATE_WINDOW_S:
        times.popleft()
