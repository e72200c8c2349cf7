"""Crashes of servers under requests that have something in common."""

from math import inf

__all__ = ["MAX_CRASHES", "TRIAL_TIMEOUT_S", "CrashHistory", "is_later_success"]

TRIAL_TIMEOUT_S = 3.0
"""Time in seconds after which an unfinished trial is ignored."""
_SUCCESS_TOLERANCE_S = 0.05
"""Tolerance in seconds when times of successes are compared. Received ages exclude the
transit time of the datagram; without a tolerance a success would appear later with each
gateway that forwards it, and two gateways would correct each other for ever."""
MAX_CRASHES = 8
"""Maximum number of crashes kept for one subject; the oldest ones are dropped."""


def is_later_success(success_s, other_s):
    """
    Tell whether a time of a success is later than another one.

    Parameters
    ----------
    success_s, other_s : float

    Returns
    -------
    bool
        False if they may be times of the same success.
    """
    return success_s - other_s > _SUCCESS_TOLERANCE_S


class CrashHistory:
    """
    Crashes of servers that were processing one subject, and its last success.

    A subject is a prompt part or the fingerprint of a request.

    Parameters
    ----------
    last_success_s : float
        Time of the last successful answer; ``-inf`` if there was none.

    Attributes
    ----------
    crashes_s : dict of str to float
        Crash times by server incarnation.
    last_seen_s : float
        Time at which the subject was last requested or reported by another gateway.
    trial_deadlines_s : dict of str to float
        Time by which the current trial of a gateway is over, by gateway.
    """

    __slots__ = ("crashes_s", "last_success_s", "last_seen_s", "trial_deadlines_s")

    def __init__(self, last_success_s=-inf):
        self.crashes_s = {}
        self.last_success_s = last_success_s
        self.last_seen_s = -inf
        self.trial_deadlines_s = {}

    def add_crash(self, incarnation, at_s):
        """
        Record the crash of a server that was processing the subject.

        Parameters
        ----------
        incarnation : str
        at_s : float

        Returns
        -------
        bool
            Whether the crash was not known before and is later than the last success.
        """
        if incarnation in self.crashes_s or at_s <= self.last_success_s:
            return False
        self.crashes_s[incarnation] = at_s
        if len(self.crashes_s) > MAX_CRASHES:
            del self.crashes_s[min(self.crashes_s, key=self.crashes_s.get)]
        return True

    def record_success(self, at_s):
        """
        Record a successful answer, which clears all earlier crashes.

        Parameters
        ----------
        at_s : float

        Returns
        -------
        bool
            Whether any crashes were cleared.
        """
        if at_s <= self.last_success_s:
            return False
        self.last_success_s = at_s
        count_before = len(self.crashes_s)
        self.crashes_s = {
            incarnation: crash_s
            for incarnation, crash_s in self.crashes_s.items()
            if crash_s > at_s
        }
        return len(self.crashes_s) < count_before

    def merge(self, crashes_s, last_success_s, gateway, trial_until_s, now):
        """
        Merge what another gateway knows.

        Parameters
        ----------
        crashes_s : dict of str to float
            Crash times by server incarnation.
        last_success_s : float
            ``-inf`` for none.
        gateway : str
            Name of the other gateway.
        trial_until_s : float or None
            Deadline of its own trial.
        now : float

        Returns
        -------
        bool
            Whether anything changed that requests may wait for.
        """
        changed = last_success_s > self.last_success_s
        self.record_success(last_success_s)
        for incarnation, at_s in crashes_s.items():
            changed |= self.add_crash(incarnation, at_s)
        self.last_seen_s = max(self.last_seen_s, self.last_crash_s)
        previous_deadline_s = self.trial_deadlines_s.pop(gateway, None)
        if trial_until_s is not None and trial_until_s > now:
            self.trial_deadlines_s[gateway] = trial_until_s
        return changed or (previous_deadline_s is not None and trial_until_s is None)

    @property
    def last_crash_s(self):
        """Time of the last crash; ``-inf`` if there is none."""
        return max(self.crashes_s.values(), default=-inf)

    @property
    def last_activity_s(self):
        """Time at which the subject was last requested, crashed or succeeded."""
        return max(self.last_seen_s, self.last_crash_s, self.last_success_s)

    def trial_until_s(self, now):
        """
        Return the time by which the trials of all gateways are over.

        Parameters
        ----------
        now : float

        Returns
        -------
        float or None
            None if no trial is in progress.
        """
        latest_s = max(self.trial_deadlines_s.values(), default=-inf)
        return latest_s if latest_s > now else None
