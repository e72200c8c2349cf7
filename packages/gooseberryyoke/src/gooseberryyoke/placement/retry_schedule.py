"""Slots reserved for callers that were refused and assigned a retry time.

Callers that are refused in a burst retry once; if they meet the same queue again, they
are refused for good. Each reservation takes one of the slots that are expected to
become free, so that no more callers are assigned a time than can be served then.
"""

from collections import deque

__all__ = ["RetrySchedule"]

_TOLERANCE_S = 0.1
"""Time in seconds by which a retry may be early, to allow for differences of clocks and
network delays."""
_EXPIRY_S = 0.6
"""Time in seconds after which an unused reservation expires and its slot is free for
other requests."""


class RetrySchedule:
    """
    Reserved retry times of one gateway, by urgency.

    A caller may retry at another gateway. As all gateways assign retry times at the
    same rate, a gateway receives as many retries as it has reserved slots for, though
    not from the same callers.
    """

    __slots__ = ("_times",)

    def __init__(self):
        self._times = {}

    def reserve(self, urgency, earliest_s, latest_s, rate):
        """
        Reserve a slot for a caller.

        Parameters
        ----------
        urgency : int
            Urgency of the request; lower values are more urgent.
        earliest_s, latest_s : float
            Bounds of the retry time, in seconds.
        rate : float
            Slots per second that are available for retries.

        Returns
        -------
        float
            Time of the retry in seconds. If no slot is left before `latest_s`, this is
            `latest_s`, and no slot is reserved.
        """
        times = self._times.setdefault(urgency, deque())
        at_s = max(earliest_s, times[-1] + 1 / rate) if times else earliest_s
        if at_s > latest_s:
            return latest_s
        times.append(at_s)
        return at_s

    def redeem(self, urgency, now):
        """
        Use up a reservation, if one is due.

        Parameters
        ----------
        urgency : int
            Urgency of the request.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether a reservation was due.
        """
        self._remove_expired(now)
        times = self._times.get(urgency)
        if not times or times[0] > now + _TOLERANCE_S:
            return False
        times.popleft()
        return True

    def outstanding(self, urgency, until_s, now):
        """
        Count the reserved slots of requests that are at least as urgent.

        Parameters
        ----------
        urgency : int
            Urgency to compare with.
        until_s : float
            Time in seconds; reservations for later times are not counted.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of reservations.
        """
        self._remove_expired(now)
        return sum(
            at_s <= until_s
            for other, times in self._times.items()
            if other <= urgency
            for at_s in times
        )

    def _remove_expired(self, now):
        for times in self._times.values():
            while times and times[0] + _EXPIRY_S < now:
                times.popleft()
