"""Slots reserved for more urgent requests, and the minimum share of each urgency.

The reservation is for bursts of about three times the usual load that last some
seconds, at gateways that learn of each other's requests with a delay. Less urgent
requests that take the last slots keep them for as long as a stream lasts, and urgent
requests that arrive next are late.
"""

from collections import deque

__all__ = ["Reservation"]

_STEP_SHARE = 15 / 360
"""Fraction of all slots that is reserved per step of urgency. Of 360 slots, 15 are
taken by urgent requests at three times their usual rate of 46 per second within 0.1 s,
after which gateways know of each other's requests."""
_MAX_SHARE = 45 / 360
"""Maximum fraction of all slots that is reserved, for services with many urgencies."""
_MIN_SERVED = 0.25
"""Minimum fraction of the requests of one urgency that are started, relative to the
fraction of all requests that are started."""
_SERVED_MARGIN = 1.2
"""Factor on `_MIN_SERVED`, as counts of a few requests fluctuate."""
_WINDOW_S = 2.0
"""Time in seconds for which arrivals and starts are counted."""


class Reservation:
    """Rules for the free slots that requests of an urgency may take at one gateway."""

    __slots__ = ("_urgencies", "_slots", "_arrivals", "_starts")

    def __init__(self):
        self._urgencies = []
        self._slots = 0
        self._arrivals = {}
        self._starts = {}

    def configure(self, urgencies, slots):
        """
        Set the values from which the reservation is computed.

        Parameters
        ----------
        urgencies : list of int
            Urgencies in use, the most urgent first.
        slots : int
            Number of slots of all servers together; 0 for no reservation.
        """
        self._urgencies = urgencies
        self._slots = slots

    def reserved(self, urgency):
        """
        Compute the number of slots that a request has to leave free.

        Parameters
        ----------
        urgency : int
            Urgency of the request; lower values are more urgent.

        Returns
        -------
        int
            Number of slots.
        """
        more_urgent = sum(other < urgency for other in self._urgencies)
        steps = max(1, len(self._urgencies) - 1)
        step_share = min(_STEP_SHARE, _MAX_SHARE / steps)
        return round(self._slots * step_share * more_urgent)

    def record_arrival(self, urgency, now):
        """
        Count a request that has arrived.

        Parameters
        ----------
        urgency : int
            Urgency of the request.
        now : float
            Current time in seconds.
        """
        _record(self._arrivals, urgency, now)

    def record_start(self, urgency, now):
        """
        Count a request that got a slot.

        Parameters
        ----------
        urgency : int
            Urgency of the request.
        now : float
            Current time in seconds.
        """
        _record(self._starts, urgency, now)

    def undo_start(self, urgency):
        """Undo the latest start of an urgency if its request did not run after all."""
        if self._starts.get(urgency):
            self._starts[urgency].pop()

    def more_urgent_rate(self, urgency, now):
        """
        Estimate the arrival rate of more urgent requests.

        Parameters
        ----------
        urgency : int
            Urgency to compare with.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Requests per second.
        """
        counts = _counts(self._arrivals, now)
        return sum(n for other, n in counts.items() if other < urgency) / _WINDOW_S

    def arrived_share(self, urgency, now):
        """
        Compute the fraction of recent arrivals that has an urgency.

        Parameters
        ----------
        urgency : int
            Urgency to count.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Always above 0: without arrivals of the urgency, one is assumed.
        """
        counts = _counts(self._arrivals, now)
        return max(1, counts.get(urgency, 0)) / max(1, sum(counts.values()))

    def min_share(self, urgency, now):
        """
        Compute the minimum fraction of started requests that an urgency should get.

        Parameters
        ----------
        urgency : int
            Urgency to compute it for.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            A quarter of the urgency's fraction of the arrivals.
        """
        return _MIN_SERVED * self.arrived_share(urgency, now)

    def is_below_minimum(self, urgency, now):
        """
        Return whether an urgency has got less than its minimum share of starts.

        Parameters
        ----------
        urgency : int
            Urgency to check.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if no request of the urgency has arrived recently.
        """
        arrivals, starts = _counts(self._arrivals, now), _counts(self._starts, now)
        min_starts = (
            self.min_share(urgency, now) * sum(starts.values()) * _SERVED_MARGIN
        )
        return arrivals.get(urgency, 0) > 0 and starts.get(urgency, 0) + 1 <= min_starts


def _record(times_by_urgency, urgency, now):
    times = times_by_urgency.setdefault(urgency, deque())
    times.append(now)
    _remove_old(times, now)


def _remove_old(times, now):
    while times and now - times[0] > _WINDOW_S:
        times.popleft()


def _counts(times_by_urgency, now):
    for times in times_by_urgency.values():
        _remove_old(times, now)
    return {urgency: len(times) for urgency, times in times_by_urgency.items()}
