"""Health of a group of servers that execute their steps together.

If one group is a whole service, the service is unavailable for some seconds while the
members restart and the group forms again, or while its step is blocked. Requests sent
during that time are refused one after the other, which uses up the only retry of their
callers, or hang until the callers leave. Requests therefore stay queued, while one
probe request at a time tests the group.
"""

from math import floor, inf

__all__ = ["GroupHealth"]

_STALL_S = 0.5
"""Seconds without an event on any stream of a group after which the group counts as
stalled. A saturated group sends an event on each stream every tenth of a second."""
_MIN_PROBE_INTERVAL_S = 0.15
_MAX_PROBE_INTERVAL_S = 0.3
"""Longest time between two probe requests, in seconds. It is short so that a group is
used soon after it has formed; each probe costs its engine a refusal."""

_WINDOW_S = 0.2
"""Length of a measurement window in seconds: two or three steps of a saturated
group."""
_GAP_QUANTILE = 0.7
"""Quantile of the gaps of one window. A long step lengthens the gaps of all streams,
while a link that loses packets lengthens those of some."""
_SHORT_GAP_FRACTION = 0.7
"""Fraction of the gap that callers tolerate, below which a gap counts as short."""
_RAMP_UP_STEP = 0.03
_GAP_BOUND_FRACTION = 0.95
"""Fraction of the gap that callers tolerate, used as the bound of the concurrency
limit. With a constant number of running requests, gaps vary by a tenth from step to
step, and a single gap over the tolerated one makes every running stream late."""
_INITIAL_FRACTION = 0.6
"""Fraction of the slots that may be taken after a group has formed again. Its experts
are then placed without regard to demand, and more requests are queued than it has
slots. With all slots taken, its steps would be too long for all requests, and later
requests would find no free slot."""


class GroupHealth:
    """
    Health of one group, derived from this gateway's own requests.

    Attributes
    ----------
    in_flight : int
        Requests of this gateway for streams that have been sent to the group and have
        not ended.
    is_probed : bool
        Whether the group gets one probe request at a time, as its last outcome was a
        refusal or a stall.
    concurrency : GroupConcurrency or None
        Concurrency limit derived from the gaps of streams; None for services that are
        not managed for contention.
    """

    __slots__ = (
        "in_flight",
        "is_probed",
        "concurrency",
        "_ramp_up_fraction",
        "_last_activity_s",
        "_last_event_s",
        "_next_probe_s",
        "_probe_interval_s",
        "_window_start_s",
        "_gaps",
    )

    def __init__(self):
        self.in_flight = 0
        self.is_probed = False
        self.concurrency = None
        self._ramp_up_fraction = 1.0
        self._window_start_s = float("-inf")
        self._gaps = []
        self._last_activity_s = float("-inf")
        self._last_event_s = float("-inf")
        self._next_probe_s = float("-inf")
        self._probe_interval_s = _MIN_PROBE_INTERVAL_S

    @property
    def limit_part(self):
        """
        Fraction of the group's slots that may be taken.

        It is below 1 while the group ramps up after it has formed again, or while its
        streams would be too slow otherwise; the lower of both values applies.
        """
        if self.concurrency is None:
            return self._ramp_up_fraction
        return min(self._ramp_up_fraction, self.concurrency.fraction)

    @property
    def is_full(self):
        """Whether the concurrency limit allows no further request."""
        return self.concurrency is not None and self.concurrency.is_full

    def sent(self, now):
        """Record a request for a stream, sent to a member at a time in seconds."""
        if not self.in_flight:
            # No events were expected before this request.
            self._last_activity_s = now
        self.in_flight += 1
        if self.is_probed:
            self._next_probe_s = now + self._probe_interval_s

    def ended(self, now):
        """Record the end of a request for a stream at a time in seconds."""
        was_stalled = self.is_stalled(now)
        self.in_flight -= 1
        if was_stalled and not self.in_flight:
            # All streams were cancelled, and none is left to show the next event.
            self.is_probed = True
            self._next_probe_s = now

    def event_received(self, now):
        """Record a part of an answer that arrives at a time in seconds."""
        self._last_activity_s = self._last_event_s = now
        self.is_probed = False
        self._probe_interval_s = _MIN_PROBE_INTERVAL_S

    def observe_gap(self, gap_s, tolerated_s, now):
        """
        Record the time between two events of one stream.

        All streams of a group get their events together. While the gaps of a group that
        has formed again are short, the fraction of its slots that may be taken grows.
        Long gaps do not reduce it here: fewer streams hardly shorten the steps if one
        member is slow or demand has changed, and refused requests are certain to be
        late. `GroupConcurrency` distinguishes these cases from an overloaded group.

        Parameters
        ----------
        gap_s : float
        target_s : float or None
            Gap that callers tolerate; None if it is unknown.
        now : float
            In seconds.
        """
        if self.concurrency is not None and tolerated_s is not None:
            self.concurrency.observe(gap_s, _GAP_BOUND_FRACTION * tolerated_s, now)
        # Where callers don't tell, no gap is too long.
        self._gaps.append(0.0 if tolerated_s is None else gap_s / tolerated_s)
        if now - self._window_start_s < _WINDOW_S:
            return
        gap_ratio = sorted(self._gaps)[floor(len(self._gaps) * _GAP_QUANTILE)]
        if gap_ratio < _SHORT_GAP_FRACTION:
            self._ramp_up_fraction = min(1.0, self._ramp_up_fraction + _RAMP_UP_STEP)
        self._window_start_s = now
        self._gaps.clear()

    def refused(self, now):
        """
        Record a refusal by a member that has free slots or can't work.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self.is_probed:
            if now < self._next_probe_s:
                # Concurrent requests are refused together and count as one refusal.
                return
            self._probe_interval_s = min(
                _MAX_PROBE_INTERVAL_S, 2 * self._probe_interval_s
            )
        self.is_probed = True
        self._ramp_up_fraction = min(self._ramp_up_fraction, _INITIAL_FRACTION)
        self._next_probe_s = now + self._probe_interval_s

    def is_active(self, now):
        """
        Return whether the group has sent a part of an answer within the stall time.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        bool
        """
        return now - self._last_event_s <= _STALL_S

    def is_stalled(self, now):
        """
        Return whether requests are in flight at the group and get no answers.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        bool
        """
        return self.in_flight > 0 and now - self._last_activity_s > _STALL_S

    def places(self, free, now, slots=0, running=0.0):
        """
        Count the requests that may be sent to the group.

        Parameters
        ----------
        free : int
            Free slots of its members.
        now : float
            In seconds.
        slots : int
            All slots of its members.
        running : float
            Requests on its members.

        Returns
        -------
        int
            At most 1 while the group is probed, once the next probe is due. 0 while the
            group is stalled, since the requests in flight will show when it continues.
        """
        if self.is_stalled(now):
            return 0
        if not self.is_probed:
            if not slots:
                return free
            return floor(max(0, min(free, self.max_running(slots) - running)))
        if self.in_flight or now < self._next_probe_s:
            return 0
        return min(1, free)

    def max_running(self, slots):
        """
        Compute the number of requests that may run in the group.

        The limit applies to what runs, and not to the free slots: these may be fewer
        for other reasons, and if the same restraint counted twice, a group whose
        engines all wait for a probe would get no request, and none would end that.

        Parameters
        ----------
        slots : int
            All slots of its members.

        Returns
        -------
        float
            At least 1; infinite without a limit.
        """
        limit = slots - round(slots * (1 - self._ramp_up_fraction))
        if self._ramp_up_fraction >= 1:
            limit = inf
        if self.concurrency is not None and self.concurrency.fraction < 1:
            limit = min(limit, round(slots * self.concurrency.fraction))
        return max(1, limit)
