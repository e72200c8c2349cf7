"""Concurrency limit of a group that keeps the gaps of its streams within a bound.

If all 360 slots of a group that executes its steps together are taken, the events of
every stream are 128 ms apart where callers tolerate 120 ms. One step serves all
streams, so that a few gaps show the step time of the whole group. The gaps and the
declared cost of a step determine the number of requests at which the gaps are short
enough.
"""

from collections import deque
from math import ceil, floor, inf, isfinite
from statistics import mean, median_low

from gooseberryyoke.record import Record

__all__ = [
    "PEER_LIMIT_TTL_S",
    "MIN_LIMIT_FRACTION",
    "GapModel",
    "GroupConcurrency",
    "GroupSize",
    "cost_fault",
]

PEER_LIMIT_TTL_S = 1.5
"""Time to live of a limit computed by a gateway, in seconds. Limits are sent at least
every 0.4 s, so that two consecutive messages may be lost."""
MIN_LIMIT_FRACTION = 0.45
"""Lowest limit as a fraction of the slots. Below it, refusals cost more than late
events."""
TARGET_GAP_FRACTION = 0.95
"""Target gap as a fraction of the tolerated one, as gaps vary by a few per cent from
step to step."""
_GAP_QUANTILE = 0.7
"""Quantile of the gaps of a window. A link that loses packets lengthens the gaps of
some streams only."""
_WINDOW_S = 0.18
"""Shortest measurement window in seconds. The limit is thus computed on every fourth
tick of 0.05 s, even if ticks come slightly early."""
_MIN_GAPS = 3
_MAX_WINDOW_S = 1.0
"""Longest measurement window in seconds. If it holds too few gaps, they are discarded,
as they do not describe the present."""
_MAX_GAPS = 1000
_RUNNING_SAMPLES = 6
"""Samples of the number of running requests, taken every 0.05 s. A gap that ends in a
window of 0.2 s began up to 0.12 s before the window."""
_RECOVERY_WINDOWS = 2
"""Number of windows in which the limit grows from its lowest value to all slots, once
all of them can be used."""
_PROBE_FRACTION = 0.005
"""Fraction of the slots by which the limit of a saturated group grows in one window.
The prompts of all requests that begin together are read together: with 0.04, the value
of the bursts of tools/bench/concurrency.py fell from 0.65 to 0.50."""
_SATURATED_FRACTION = 0.75
"""Fraction of the limit from which a group counts as saturated. With fewer running
requests, long gaps have another cause than their number, such as new demand for some
experts."""
_MIN_SATURATED_FRACTION = 0.4
"""Fraction of the slots. A group at its lowest limit counts as saturated; otherwise its
limit would grow at once each time that gaps are short."""
_SLOPE_WINDOWS = 16
"""Number of most recent windows whose steepest slope applies. They last 3 s, which is
longer than a stream. Lifting the limit earlier would lengthen a gap of all streams that
began under it."""
_LIFT_WINDOWS = 2
"""Consecutive windows that must allow all slots before the limit is lifted."""
_MAX_SKEW = 3.0
"""Highest plausible load of the most loaded rank relative to the mean. On real maps 2.0
to 2.5 were observed."""
_SLOW_RANK_FACTOR = 1.25
"""Ratio to the longest gap that the declared cost explains, above which a rank is
slow."""
_PREFILL_TOKENS = 512
"""Tokens that an engine reads in one step at most, as is usual for chunked prefill."""
_BOUND_TTL_S = 5.0
"""Time in seconds for which the strictest bound of a group's routes applies without a
stream of its route."""
_MAX_GATEWAYS = 256
"""Number of gateways whose limits are kept."""


class GroupSize(Record):
    """
    Size of a group.

    Parameters
    ----------
    slots : int
        Requests that its engines run concurrently.
    engines : int
        Number of its engines.
    """

    __slots__ = ("slots", "engines")

    def __init__(self, slots, engines):
        self.slots = slots
        self.engines = engines

    @property
    def min_limit(self):
        """Lowest limit of the group, in requests."""
        return ceil(self.slots * MIN_LIMIT_FRACTION)


def cost_fault(pace, bound_s):
    """
    Describe why the declared cost of a step is implausible.

    Parameters
    ----------
    pace : ModelPace
    bound_s : float
        Gap that callers tolerate, in seconds.

    Returns
    -------
    str or None
        None if the cost is plausible.
    """
    for name in ("step_s", "per_request_s", "steps_per_event"):
        value = getattr(pace, name)
        if not (isfinite(value) and value > 0):
            return f"{name} is {value}"
    for name in ("per_context_token_s", "read_tokens_per_s", "expert_share"):
        value = getattr(pace, name)
        if not (isfinite(value) and value >= 0):
            return f"{name} is {value}"
    if pace.expert_share > 1:
        return f"expert_share is {pace.expert_share}"
    fixed_s = pace.steps_per_event * pace.step_s
    if fixed_s >= TARGET_GAP_FRACTION * bound_s:
        return f"steps without requests take {fixed_s:.3f} s of {bound_s:.3f} s"
    return None


class GapModel(Record):
    """
    Linear model of the gap between two events: fixed + slope x running requests.

    Parameters
    ----------
    fixed_s : float
        Time of the steps of one event without any request, in seconds; 0 if no cost is
        declared.
    slope_s, max_slope_s : float
        Seconds for each request on an engine: with even load, and on the most loaded
        rank that is plausible.
    prefill_s : float
        Additional seconds of one event if an engine reads prompts in each step.
    """

    __slots__ = ("fixed_s", "slope_s", "max_slope_s", "prefill_s")

    def __init__(self, fixed_s=0.0, slope_s=0.0, max_slope_s=inf, prefill_s=0.0):
        self.fixed_s = fixed_s
        self.slope_s = slope_s
        self.max_slope_s = max_slope_s
        self.prefill_s = prefill_s

    @classmethod
    def from_pace(cls, pace):
        """
        Compute the model from a declared cost.

        Parameters
        ----------
        pace : ModelPace
            Without a fault; see `cost_fault`.

        Returns
        -------
        GapModel
        """
        tokens = pace.usual_prompt_tokens + pace.usual_answer_tokens / 2
        context_s = pace.per_context_token_s * max(0.0, tokens)
        share, steps = pace.expert_share, pace.steps_per_event
        max_request_s = pace.per_request_s * (1 - share + share * _MAX_SKEW)
        read = pace.read_tokens_per_s
        return cls(
            steps * pace.step_s,
            steps * (pace.per_request_s + context_s),
            steps * (max_request_s + context_s),
            steps * _PREFILL_TOKENS / read if read else 0.0,
        )

    def max_gap_s(self, running, size):
        """
        Compute the longest gap that the declared cost explains.

        Parameters
        ----------
        running : float
            Requests in the group.
        size : GroupSize

        Returns
        -------
        float
            In seconds; infinite without a declared cost.
        """
        # The requests of the engines differ by at least one.
        on_rank = min(size.slots, running + size.engines) / size.engines
        max_gap_s = self.fixed_s + self.max_slope_s * on_rank + self.prefill_s
        return max_gap_s * _SLOW_RANK_FACTOR


class GroupConcurrency:
    """
    Concurrency limit of one group.

    Each gateway computes a limit from the gaps of its own streams. All gateways apply
    the median of the limits of the last 1.5 s, so that the same limit is in force
    everywhere.

    Attributes
    ----------
    fraction : float
        Fraction of the group's slots that may be taken, as of the last call of `tick`.
    limit : int or None
        In requests; None while the group is not limited.
    own_limit : int or None
        Limit computed by this gateway; None without recent gaps.
    cause : str
        Cause of the last change: ``gaps``, ``peers``, ``gaps-short``, ``slow-rank`` or
        ``no-figures``.
    fault : str or None
        Reason for which the declared cost is ignored.
    gap_s, running : float
        Gap in seconds and running requests of the last window, for logs.
    is_full : bool
        Whether as many requests run as the limit allows, as of the last call of `tick`.
    """

    __slots__ = (
        "fraction",
        "limit",
        "own_limit",
        "cause",
        "fault",
        "gap_s",
        "running",
        "is_full",
        "_own_cause",
        "_min_own_limit",
        "_slopes",
        "_bound_s",
        "_bound_updated_s",
        "_gaps",
        "_samples",
        "_window_start_s",
        "_own_computed_s",
        "_peer_limits",
    )

    def __init__(self):
        self.fraction = 1.0
        self.limit = self.own_limit = self.fault = None
        self.cause = self._own_cause = "gaps-short"
        self.gap_s = self.running = 0.0
        self.is_full = False
        self._min_own_limit = inf
        self._slopes = deque(maxlen=_SLOPE_WINDOWS)
        self._bound_s = None
        self._bound_updated_s = self._window_start_s = self._own_computed_s = -inf
        self._gaps = deque(maxlen=_MAX_GAPS)
        self._samples = deque(maxlen=_RUNNING_SAMPLES)
        self._peer_limits = {}

    def observe(self, gap_s, bound_s, now):
        """
        Record the time between two events of a stream.

        Parameters
        ----------
        gap_s : float
        bound_s : float
            Gap that callers tolerate, in seconds. The strictest bound of the group's
            routes applies.
        now : float
            In seconds.
        """
        is_stale = now - self._bound_updated_s > _BOUND_TTL_S
        if self._bound_s is None or is_stale or bound_s <= self._bound_s:
            self._bound_s, self._bound_updated_s = bound_s, now
        self._gaps.append(gap_s)

    def update_peer_limit(self, gateway, limit, computed_s):
        """
        Record the limit that another gateway has computed.

        Parameters
        ----------
        gateway : str
        limit : int
            In requests.
        computed_s : float
            Time at which it was computed, in seconds.
        """
        if gateway in self._peer_limits or len(self._peer_limits) < _MAX_GATEWAYS:
            self._peer_limits[gateway] = (limit, computed_s)

    def limit_to_send(self, now):
        """
        Return this gateway's limit for the other gateways.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        (int, float) or None
            The limit in requests and its age in seconds.
        """
        if self.own_limit is None:
            return None
        return self.own_limit, now - self._own_computed_s

    def tick(self, running, size, pace, now):
        """
        Sample the number of running requests and update the limit.

        Called every 0.05 s.

        Parameters
        ----------
        running : float
            Requests in the group, including those of other gateways.
        size : GroupSize
        pace : ModelPace or None
            None without a declared cost.
        now : float
            In seconds.
        """
        self._samples.append(running)
        self._update_own_limit(size, pace, now)
        if now - self._own_computed_s > PEER_LIMIT_TTL_S:
            self.own_limit = None
        self._apply_median(size, now)
        self.is_full = self.limit is not None and running >= self.limit

    def _update_own_limit(self, size, pace, now):
        if now - self._window_start_s < _WINDOW_S:
            return
        if len(self._gaps) < _MIN_GAPS:
            if now - self._window_start_s >= _MAX_WINDOW_S:
                self._start_window(now)
            return
        self.gap_s = sorted(self._gaps)[floor(len(self._gaps) * _GAP_QUANTILE)]
        self.running = mean(self._samples)
        self._start_window(now)
        previous = size.slots if self.own_limit is None else self.own_limit
        limit = self._next_limit(min(size.slots, previous), size, pace)
        # Lowest own limit since the group was last unlimited; recovery steps derive
        # from it.
        self._min_own_limit = (
            inf if limit == size.slots else min(self._min_own_limit, limit)
        )
        self.own_limit, self._own_computed_s = limit, now

    def _start_window(self, now):
        self._gaps.clear()
        self._window_start_s = now

    def _model(self, pace):
        self.fault = None if pace is None else cost_fault(pace, self._bound_s)
        return GapModel() if pace is None or self.fault else GapModel.from_pace(pace)

    def _next_limit(self, previous, size, pace):
        model = self._model(pace)
        deficit = max(0, size.slots - min(self._min_own_limit, size.slots))
        grown = min(size.slots, previous + ceil(deficit / _RECOVERY_WINDOWS))
        if self.gap_s > model.max_gap_s(self.running, size):
            # Fewer requests would not shorten the steps of a slow rank.
            self._own_cause = "slow-rank"
            return grown
        target_s = TARGET_GAP_FRACTION * self._bound_s
        limit = previous if self.limit is None else min(previous, self.limit)
        if not self._is_saturated(limit, size):
            # Prompts are also read with few running requests, and the model would then
            # allow too few.
            self._slopes.clear()
            if self.gap_s > target_s:
                return previous
            self._own_cause = "gaps-short"
            return grown
        current_slope_s = max(0.0, self.gap_s - model.fixed_s) / self.running
        if self.running > limit + 1 and current_slope_s <= max(
            self._slopes, default=0.0
        ):
            # No request begins until the number has fallen to the limit. Without new
            # prompts to read, gaps are shorter than under normal load.
            return previous
        self._slopes.append(current_slope_s)
        slope_s = max(self._slopes)
        if self._allows_all_slots(size, target_s - model.fixed_s):
            self._own_cause = "gaps-short"
            return grown
        allowed = floor((target_s - model.fixed_s) / slope_s)
        if allowed >= previous:
            return min(previous + ceil(size.slots * _PROBE_FRACTION), allowed)
        if model.fixed_s + slope_s * size.min_limit > self._bound_s:
            # Even the lowest limit would not be enough.
            return previous
        self._own_cause = "gaps"
        return max(size.min_limit, allowed)

    def _allows_all_slots(self, size, budget_s):
        latest = list(self._slopes)[-_LIFT_WINDOWS:]
        is_enough = len(latest) == _LIFT_WINDOWS or self._min_own_limit == inf
        return is_enough and max(latest) * size.slots <= budget_s

    def _is_saturated(self, limit, size):
        threshold = max(
            _SATURATED_FRACTION * limit, _MIN_SATURATED_FRACTION * size.slots
        )
        return self.running >= threshold

    def _apply_median(self, size, now):
        recent = {
            gateway: (limit, computed_s)
            for gateway, (limit, computed_s) in self._peer_limits.items()
            if now - computed_s <= PEER_LIMIT_TTL_S
        }
        self._peer_limits = recent
        limits = [limit for limit, _ in recent.values()]
        if self.own_limit is not None:
            limits.append(self.own_limit)
        previous = self.limit
        self.limit = None
        if limits:
            limit = max(size.min_limit, median_low(limits))
            self.limit = limit if limit < size.slots else None
        self.fraction = 1.0 if self.limit is None else self.limit / size.slots
        if (previous is None) != (self.limit is None):
            self.cause = self._cause_of_change(limits)

    def _cause_of_change(self, limits):
        if not limits:
            return "no-figures"
        is_limiting = self._own_cause == "gaps" and self.own_limit is not None
        if self.limit is not None:
            return "gaps" if is_limiting else "peers"
        return "peers" if is_limiting else self._own_cause
