"""Order and admission of requests that wait for a place at a server.

After a loss of power, or a stall of a group of engines, the requests of a few seconds
arrive at once, and the servers have hardly more places than the usual load needs. In
order of arrival, all later requests would be late until the backlog is worked off.
Therefore requests that can still be on time go first, and the backlog gets the
remaining places. A request that can't get one of these while its caller waits is
refused at once, with a time to retry.

The line of a service that is managed for contention applies four more rules: slots are
reserved for more urgent requests (`Reservation`), client accounts are served evenly
(`FairShare`), callers that retry at the time assigned to them go first
(`RetrySchedule`), and slots are left to more urgent requests at other gateways
(`SlotHold`).
"""

from collections import Counter, deque

from gooseberryyoke.placement.fair_share import FairShare
from gooseberryyoke.placement.reservation import Reservation
from gooseberryyoke.placement.retry_schedule import RetrySchedule
from gooseberryyoke.placement.slot_hold import SlotHold

__all__ = ["WaitingLine"]

_LAST_TRY_WAIT_FACTOR = 2.0
"""Factor by which the predicted wait of a last try must exceed its limit before the
request is refused: the prediction may be wrong, and the caller does not retry."""
_RATE_WINDOW_S = 2.0
"""Time in seconds over which the rate of starts is measured."""
_MIN_MEASURED_RATE = 0.25
"""Lower bound on the measured rate, in places per second. It is assumed while no place
becomes free at all."""
_MIN_RETRY_S = 0.3
"""Minimum time in seconds until a retry."""
_MAX_RETRY_S = 2.5
"""Maximum time in seconds until a retry. Callers retry after at most a third of the
eight seconds that they have."""
_HONOURED_FRACTION = 1 / 3
"""Fraction of a caller's remaining time up to which it honours Retry-After."""
_RETRY_FRACTION = 0.1
"""Fraction of the slots that become free that is reserved for retries."""


class WaitingLine:
    """Queue of the requests that wait for one service at one gateway."""

    __slots__ = (
        "_waiters",
        "_starts",
        "_late_starts",
        "_retry_times",
        "_last_free_s",
        "_is_managed",
        "_reservation",
        "_most_kept",
        "_fair_share",
        "_retries",
        "_hold",
        "_gateways",
        "_waiting_elsewhere",
    )

    def __init__(self):
        self._is_managed = False
        self._gateways = 1
        self._waiting_elsewhere = None
        self._reservation = Reservation()
        self._most_kept = _whole
        self._fair_share = FairShare()
        self._retries = RetrySchedule()
        self._hold = SlotHold()
        self._waiters = []
        self._last_free_s = None
        self._starts = deque()
        self._late_starts = deque()
        self._retry_times = deque()

    def __len__(self):
        return len(self._waiters)

    def configure(
        self, urgencies, slots, gateways=1, waiting_elsewhere=None, most_kept=None
    ):
        """
        Set whether and how the line is managed for contention.

        Parameters
        ----------
        urgencies : list of int or None
            Urgencies in use, the most urgent first; None for a line that is not
            managed.
        slots : int
            Number of slots of all servers together; 0 if none are to be reserved.
        gateways : int
            Number of gateways that share the servers, including this one.
        waiting_elsewhere : dict of int to int, optional
            Number of requests that wait at the other gateways, by urgency; None if it
            is not known.
        most_kept : callable, optional
            Gives the most places that may be kept free, from a wanted number.
        """
        self._most_kept = most_kept or _whole
        self._is_managed = urgencies is not None
        self._gateways = gateways
        self._waiting_elsewhere = waiting_elsewhere
        self._reservation.configure(urgencies or [], slots)

    def record_arrival(self, waiter, now):
        """
        Record a request that has just arrived, whether it will wait or not.

        Parameters
        ----------
        waiter : Waiter
            The request. If it is a retry at its assigned time, this sets `is_due`.
        now : float
            Current time in seconds.
        """
        self._reservation.record_arrival(waiter.urgency, now)
        if self._is_managed and waiter.is_last_try:
            waiter.is_due = self._retries.redeem(waiter.urgency, now)

    def record_start(self, now, is_late=False, has_waited=True, waiter=None):
        """
        Record that a request got a place, whether it has waited or not.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_late : bool
            Whether the request can't be on time any more.
        has_waited : bool
            Whether no place was free when the request arrived.
        waiter : Waiter, optional
            The request, which is counted for its urgency and client account.
        """
        if waiter is not None:
            self._reservation.record_start(waiter.urgency, now)
            self._fair_share.record_start(waiter.account, now)
        if not has_waited:
            self._last_free_s = now
        starts = self._late_starts if is_late else self._starts
        starts.append(now)
        _remove_old(starts, now)

    def requeue(self, waiter, now):
        """
        Return a request to the line after a server has refused it.

        Parameters
        ----------
        waiter : Waiter
            The request.
        now : float
            Current time in seconds.
        """
        starts = self._starts if waiter.can_be_on_time(now) else self._late_starts
        if starts:
            # The request was not started. If it were counted, attempts at a group that
            # refuses would look like fresh requests that need all places.
            starts.pop()
        self._reservation.undo_start(waiter.urgency)
        self._fair_share.undo_start(waiter.account)
        self._waiters.append(waiter)

    def _rate(self, now, min_rate, closed_s):
        _remove_old(self._starts, now)
        _remove_old(self._late_starts, now)
        rate = (len(self._starts) + len(self._late_starts)) / _RATE_WINDOW_S
        if self._last_free_s is None or closed_s:
            # While no server accepts requests, the lack of starts says nothing about
            # the rate that the servers are capable of.
            self._last_free_s = now
        if now - self._last_free_s > _RATE_WINDOW_S and not closed_s:
            # No place has been free during the window, so that the measured rate is the
            # highest that the servers are capable of.
            return max(_MIN_MEASURED_RATE, rate)
        return max(min_rate, rate)

    def _late_rate(self, rate):
        """Compute the places per second that are left for late requests."""
        # One more late start than measured is counted. Otherwise a service whose group
        # is being formed again would refuse late requests before the first start, only
        # for lack of data.
        late = len(self._late_starts) + 1
        return rate * late / (len(self._starts) + late)

    def predicted_wait_s(self, waiter, now, min_rate=1.0, closed_s=0.0):
        """
        Predict how long a request would wait for its place.

        Parameters
        ----------
        waiter : Waiter
            The request, in the line or not.
        now : float
            Current time in seconds.
        min_rate : float
            Minimum rate, in requests per second, that the servers are assumed to have
            places for; a gateway that has just started has not seen any starts.
        closed_s : float
            Remaining time in seconds for which all servers have announced to accept no
            requests.

        Returns
        -------
        float
            Wait in seconds.
        """
        others = [other for other in self._waiters if other is not waiter]
        late = [other for other in others if not other.can_be_on_time(now)]
        fresh = len(others) - len(late)
        rate = self._rate(now, min_rate, closed_s)
        wait_s = closed_s + (fresh + 1) / rate
        on_time_s = wait_s
        if self._is_managed:
            on_time_s = closed_s + self._wait_in_turn_s(waiter, now, rate)
        if waiter.can_be_on_time(now + on_time_s):
            return on_time_s
        if self._is_managed:
            ahead = max(0, self.count_ahead(waiter, now) - fresh)
            ahead += self._retries.outstanding(waiter.urgency, now + wait_s, now)
        elif waiter.is_last_try:
            # Late first tries are served after it, and so are callers whose retry time
            # is yet to come.
            ahead = sum(other.is_last_try for other in late)
        else:
            ahead = len(late) + self._count_pending_retries(now)
        return wait_s + (ahead + 1) / self._late_rate(rate)

    def _wait_in_turn_s(self, waiter, now, rate):
        """
        Predict the wait for requests ahead and for more urgent ones yet to arrive.

        A free slot goes to any gateway that has a request for it. The first request in
        the line therefore waits for the next slot of all servers and not for the next
        one of this gateway, which takes 0.18 s with 47 gateways and 257 slots per
        second.
        """
        left = rate - self._reservation.more_urgent_rate(waiter.urgency, now)
        min_slot_rate = rate * self._reservation.min_share(waiter.urgency, now)
        own = self.count_ahead(waiter, now)
        if self._waiting_elsewhere is None:
            ahead = own * self._gateways
        else:
            ahead = own + sum(
                count
                for urgency, count in self._waiting_elsewhere.items()
                if urgency <= waiter.urgency
            )
        return (ahead + 1) / (max(left, min_slot_rate) * self._gateways)

    def count_ahead(self, waiter, now):
        """
        Count the waiting requests that are served before a given one.

        Parameters
        ----------
        waiter : Waiter
            The given request, in the line or not.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of requests.
        """
        return sum(self.ahead_by_urgency(waiter, now).values())

    def ahead_by_urgency(self, waiter, now):
        """
        Count the waiting requests that are served before a given one, by urgency.

        Parameters
        ----------
        waiter : Waiter
            The given request, in the line or not.
        now : float
            Current time in seconds.

        Returns
        -------
        dict of int to int
            Number of requests by urgency, the most urgent first.
        """
        order = self._order([*self._waiters, waiter], now)
        own = order(waiter)
        ahead, is_passed = Counter(), False
        for other in self._waiters:
            if other is waiter:
                is_passed = True
            elif order(other) < own or (order(other) == own and not is_passed):
                ahead[other.urgency] += 1
        return dict(sorted(ahead.items()))

    def counts_by_urgency(self, now=None):
        """
        Count the waiting requests by urgency.

        Parameters
        ----------
        now : float, optional
            Current time in seconds. If given, only requests that can be on time are
            counted.

        Returns
        -------
        dict of int to int
            Number of requests by urgency; urgencies without requests are left out.
        """
        return dict(
            Counter(
                waiter.urgency
                for waiter in self._waiters
                if now is None or waiter.can_be_on_time(now)
            )
        )

    def _count_pending_retries(self, now):
        """Count the refused callers whose retry time is yet to come."""
        while self._retry_times and self._retry_times[0] <= now:
            self._retry_times.popleft()
        return len(self._retry_times)

    def admit(self, waiter, now, min_rate=1.0, closed_s=0.0):
        """
        Add a request to the line, or refuse it with a time to retry.

        Parameters
        ----------
        waiter : Waiter
            The request.
        now : float
            Current time in seconds.
        min_rate, closed_s : float
            See `predicted_wait_s`.

        Returns
        -------
        float or None
            Seconds until the caller should retry; None if the request may wait.

        Notes
        -----
        Each refused caller gets a retry time of its own, so that callers retry one
        after the other as places become free, and not all at once.
        """
        wait_s = self.predicted_wait_s(waiter, now, min_rate, closed_s)
        is_closed = now + closed_s > waiter.wait_until_s
        if is_closed or wait_s > _max_wait_s(waiter, now):
            return self._assign_retry(waiter, wait_s, now, min_rate, closed_s)
        self._waiters.append(waiter)
        return None

    def expiring_before(self, at_s):
        """
        List the waiting requests whose wait ends before a given time.

        Parameters
        ----------
        at_s : float
            The given time in seconds.

        Returns
        -------
        list of Waiter
            In the order in which they joined the line.
        """
        return [waiter for waiter in self._waiters if waiter.wait_until_s < at_s]

    def is_wait_too_long(self, waiter, now, min_rate=1.0):
        """
        Return whether a request is unlikely to get a place while its caller waits.

        Parameters
        ----------
        waiter : Waiter
            The request, in the line or not.
        now : float
            Current time in seconds.
        min_rate : float
            See `predicted_wait_s`.

        Returns
        -------
        bool
            Whether the predicted wait exceeds the limit for the request.
        """
        wait_s = self.predicted_wait_s(waiter, now, min_rate)
        return wait_s > _max_wait_s(waiter, now)

    def assign_retry(self, waiter, now, min_rate=1.0, closed_s=0.0):
        """
        Assign a retry time to the caller of a request that gets no place.

        Parameters
        ----------
        waiter : Waiter
            The request.
        now : float
            Current time in seconds.
        min_rate, closed_s : float
            See `predicted_wait_s`.

        Returns
        -------
        float
            Seconds until the caller should retry.
        """
        wait_s = self.predicted_wait_s(waiter, now, min_rate, closed_s)
        return self._assign_retry(waiter, wait_s, now, min_rate, closed_s)

    def _assign_retry(self, waiter, wait_s, now, min_rate, closed_s):
        if self._is_managed:
            rate = self._rate(now, min_rate, closed_s)
            return self._reserve_retry(waiter, now, rate, closed_s)
        return self._assign_after_wait(wait_s, now, closed_s)

    def _assign_after_wait(self, wait_s, now, closed_s):
        # A retry while no server accepts requests would certainly be refused.
        delay_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s - closed_s))
        retry_s = closed_s + delay_s
        self._count_pending_retries(now)
        self._retry_times.append(now + retry_s)
        return retry_s

    def _reserve_retry(self, waiter, now, rate, closed_s):
        """Reserve a slot for a retry, within the time that the caller honours."""
        honoured_s = (waiter.deadline_s - now) * _HONOURED_FRACTION
        # A retry while no server accepts requests would certainly be refused.
        earliest_s = now + closed_s + _MIN_RETRY_S
        latest_s = max(earliest_s, now + honoured_s)
        share = self._reservation.arrived_share(waiter.urgency, now)
        rate *= _RETRY_FRACTION * share
        return self._retries.reserve(waiter.urgency, earliest_s, latest_s, rate) - now

    def remove(self, waiter):
        """Remove a request from the line, if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def may_start(self, waiter, now, free, ahead_elsewhere=None):
        """
        Return whether a request may take a free slot.

        Parameters
        ----------
        waiter : Waiter
            The first request of the line, or one that is not in the line.
        now : float
            Current time in seconds.
        free : int
            Number of free slots.
        ahead_elsewhere : dict of int to int, optional
            Number of requests that wait at other gateways, by urgency.

        Returns
        -------
        bool
            Always True for a line that is not managed for contention.
        """
        if not self._is_managed or self._reservation.is_below_minimum(
            waiter.urgency, now
        ):
            return True
        reserved = self._reservation.reserved(waiter.urgency)
        if reserved and free <= reserved and free <= self._most_kept(reserved):
            return False
        ahead = ahead_elsewhere or {}
        return not self._hold.is_held(waiter.urgency, free, ahead, now)

    def next(self, now, free=1, kept=0, ahead_elsewhere=None):
        """
        Remove and return the request that gets the next place.

        Parameters
        ----------
        now : float
            Current time in seconds.
        free, kept : int
            Number of free places, and how many of them are kept for requests that can
            be on time. If late requests took these places, they would occupy them for
            as long as a stream lasts, and the requests that arrive next would be late
            as well.
        ahead_elsewhere : dict of int to int, optional
            Number of requests that wait at other gateways and can be on time, by
            urgency.

        Returns
        -------
        Waiter or None
            None if no request waits, if all waiting requests are late and no more
            places are free than are kept, or if the free slots are left to more urgent
            requests.
        """
        has_late_place = free > kept
        first = min(self._waiters, key=self._order(self._waiters, now), default=None)
        if first is None or not (has_late_place or first.can_be_on_time(now)):
            return None
        if not self.may_start(first, now, free, ahead_elsewhere):
            return None
        self._waiters.remove(first)
        return first

    def _order(self, waiters, now):
        """Create the sort key of waiting requests; the smallest is served first."""
        excess, below_minimum = {}, frozenset()
        if self._is_managed:
            excess = self._fair_share.excess({w.account for w in waiters}, now)
            urgencies = {w.urgency for w in waiters}
            below_minimum = {
                u for u in urgencies if self._reservation.is_below_minimum(u, now)
            }

        def order(waiter):
            is_late = not waiter.can_be_on_time(now)
            is_first_try = not waiter.is_last_try
            # Attempts at a group that refuses are scarce: requests with fewer refusals
            # go first, so that they take turns.
            return (
                is_late,
                waiter.urgency not in below_minimum,
                waiter.urgency,
                not waiter.is_due,
                waiter.refusals,
                0.0 if is_late else excess.get(waiter.account, 0.0),
                is_first_try,
                waiter.arrived_s,
            )

        return order


def _whole(wanted):
    return wanted


def _max_wait_s(waiter, now):
    max_wait_s = waiter.wait_until_s - now
    return max_wait_s * _LAST_TRY_WAIT_FACTOR if waiter.is_last_try else max_wait_s


def _remove_old(times, now):
    while times and now - times[0] > _RATE_WINDOW_S:
        times.popleft()
