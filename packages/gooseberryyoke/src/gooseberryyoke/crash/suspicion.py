"""Crash history of one prompt part."""

from math import inf

from gooseberryyoke.crash.history import CrashHistory

__all__ = ["Suspicion"]

_SAME_CAUSE_S = 0.5
"""Crashes closer together than this, in seconds, may have a common cause, such as the
failure of a rack."""
_TRIAL_GAP_S = 10.0
"""Gap in seconds between two crashes from which the later one is attributed to a trial,
as no other requests were sent in between. Further crashes close to it count separately,
because two gateways that run a trial at the same time crash one server each."""
_RECENT_SUCCESS_S = 60.0
"""Time after the last success, in seconds, during which a few crashes are ignored."""
_CHANCE_CRASHES = 2
"""Number of crashes attributed to chance if the part succeeded recently: a popular part
is being processed on each server that crashes."""
_CHANCE_BURST_CRASHES = 4
"""Maximum number of simultaneous crashes that are ignored for such a part. Beyond it,
requests are limited to one trial at a time, because requests that arrive together crash
many servers together."""
_COOLDOWNS_S = (0.0, 1.0, 3.0, 120.0, 600.0)
"""Cool-down in seconds from the last crash to the next trial, indexed by the number of
crashes. With more crashes no further trial is allowed. The second one is short because
a single trial of a harmless part may meet a crash that another request causes."""


class Suspicion(CrashHistory):
    """Crashes of servers that were processing a prompt part, and its last success."""

    __slots__ = ()

    def crash_count(self, now):
        """
        Count the crashes with distinct causes, less those attributed to chance.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        counted, cause_start_s, previous_s, is_trial = 0, -inf, inf, False
        for at_s in sorted(self.crashes_s.values()):
            is_new_cause = at_s - cause_start_s >= _SAME_CAUSE_S
            if is_new_cause:
                cause_start_s, is_trial = at_s, at_s - previous_s >= _TRIAL_GAP_S
            counted += is_new_cause or is_trial
            previous_s = at_s
        if now - self.last_success_s >= _RECENT_SUCCESS_S:
            return counted
        if len(self.crashes_s) > _CHANCE_BURST_CRASHES:
            return max(1, counted - _CHANCE_CRASHES + 1)
        return max(0, counted - _CHANCE_CRASHES)

    def next_trial_s(self, now):
        """
        Return the earliest time for the next trial.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            ``inf`` if no further trial is allowed.
        """
        count = self.crash_count(now)
        cooldown_s = _COOLDOWNS_S[count] if count < len(_COOLDOWNS_S) else inf
        return self.last_crash_s + cooldown_s
