"""Limit how many servers one request may crash, whatever its prompt holds.

The parts of a prompt don't identify a request that crashes servers by itself: harmless
requests share them and clear them within a second. Its callers send it again under new
attempt ids, to any gateway.
"""

from math import inf

from gooseberryyoke.crash.clearance import FREE, Clearance, ClearanceKind
from gooseberryyoke.crash.history import TRIAL_TIMEOUT_S, is_later_success
from gooseberryyoke.crash.request_history import MAX_SERVERS, RequestHistory

__all__ = ["RequestCrashes"]

_MAX_HISTORIES = 1024
_RETENTION_S = 86_400.0
_SUCCESS_RETENTION_S = 10.0
"""Retention in seconds of a success, so that crashes before it, which other gateways
still repeat, are not taken for new ones."""
_MAX_REPEATED = 4
"""Histories repeated at once, so that gossip stays below 8 KB/s per gateway."""


class RequestCrashes:
    """
    Table of the requests under which servers have crashed.

    A request may be at three servers in all: those that it has crashed, and those that
    it is at. A complete answer clears its history. All times are in seconds on the
    clock of this gateway.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    """

    __slots__ = ("_gateway", "_histories")

    def __init__(self, gateway):
        self._gateway = gateway
        self._histories = {}

    def __len__(self):
        return len(self._histories)

    def get(self, fingerprint):
        """
        Return the history of a request.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        RequestHistory or None
        """
        return self._histories.get(fingerprint)

    def last_success_s(self, fingerprint):
        """
        Return the time of the last complete answer to a request.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        float
            ``-inf`` if none is known.
        """
        history = self._histories.get(fingerprint)
        return -inf if history is None else history.last_success_s

    def count_refused(self):
        """
        Count the requests that are sent to no further server.

        Returns
        -------
        int
        """
        return sum(history.is_refused for history in self._histories.values())

    def is_suspected(self, fingerprint):
        """
        Tell whether a server has crashed, or may have crashed, under a request.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
        """
        history = self._histories.get(fingerprint)
        return history is not None and history.is_suspected

    def clearance(self, fingerprint, now):
        """
        Decide whether a request may be sent.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        Clearance
        """
        history = self._histories.get(fingerprint)
        if history is None or not history.is_suspected:
            return FREE
        history.last_seen_s = now
        if history.is_refused:
            return Clearance(ClearanceKind.REFUSED, inf, fingerprint)
        deadlines_s = self._other_deadlines_s(history, now)
        in_progress = history.in_progress + len(deadlines_s)
        if history.crash_count() + in_progress < MAX_SERVERS:
            return FREE
        until_s = min(deadlines_s, default=inf)
        return Clearance(ClearanceKind.WAIT, until_s, fingerprint)

    def _other_deadlines_s(self, history, now):
        return [
            deadline_s
            for gateway, deadline_s in history.trial_deadlines_s.items()
            if gateway != self._gateway and deadline_s > now
        ]

    def begin_send(self, fingerprint, now):
        """
        Record that a request is being sent, if a server may have crashed under it.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        bool
            Whether it was recorded; `end_send` must follow then.
        """
        history = self._histories.get(fingerprint)
        if history is None or not history.is_suspected:
            return False
        history.sends += 1
        self._extend(history, now)
        return True

    def end_send(self, fingerprint):
        """
        Record that an attempt of this gateway is over, whatever its result.

        Parameters
        ----------
        fingerprint : str
        """
        history = self._histories[fingerprint]
        history.sends -= 1
        self._end_if_idle(history)

    def begin_check(self, fingerprint, now):
        """
        Record that an attempt broke off, and that its server is checked for a crash.

        Parameters
        ----------
        fingerprint : str
        now : float
            `end_check` must follow.
        """
        history = self._get_or_create(fingerprint)
        history.checks += 1
        self._extend(history, now)

    def end_check(self, fingerprint):
        """
        Record that it is known whether a server has crashed.

        Parameters
        ----------
        fingerprint : str
        """
        history = self._histories[fingerprint]
        history.checks -= 1
        self._end_if_idle(history)

    def _extend(self, history, now):
        history.trial_deadlines_s[self._gateway] = now + TRIAL_TIMEOUT_S
        history.schedule_repeats(now)

    def _end_if_idle(self, history):
        if not history.in_progress:
            history.trial_deadlines_s.pop(self._gateway, None)

    def record_crash(
        self, incarnation, fingerprint, at_s, was_suspected=True, sent_s=-inf
    ):
        """
        Record the crash of a server that was processing a request.

        Parameters
        ----------
        incarnation : str
        fingerprint : str
        at_s : float
        was_suspected : bool
            Whether `begin_send` had recorded the attempt.
        sent_s : float
            Time at which the attempt was sent.

        Returns
        -------
        bool
            Whether the crash is new.
        """
        history = self._get_or_create(fingerprint)
        is_new = history.add_request_crash(incarnation, at_s, was_suspected, sent_s)
        if is_new:
            history.schedule_repeats(at_s)
        return is_new

    def record_success(self, fingerprint, now):
        """
        Record a complete answer.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        bool
            Whether earlier crashes were cleared.
        """
        history = self._histories.get(fingerprint)
        if history is None or not history.record_success(now):
            return False
        history.schedule_repeats(now)
        return True

    def _get_or_create(self, fingerprint):
        history = self._histories.get(fingerprint)
        if history is None:
            self._evict_if_full()
            history = self._histories[fingerprint] = RequestHistory()
        return history

    def _evict_if_full(self):
        idle = [key for key, each in self._histories.items() if not each.in_progress]
        if len(self._histories) >= _MAX_HISTORIES and idle:
            del self._histories[min(idle, key=self._eviction_key)]

    def _eviction_key(self, fingerprint):
        history = self._histories[fingerprint]
        return history.crash_count(), history.last_activity_s

    def merge(
        self, fingerprint, crashes_s, last_success_s, gateway, trial_until_s, now
    ):
        """
        Merge the history of a request that another gateway sent.

        Parameters
        ----------
        fingerprint : str
        crashes_s : dict of str to float
            Crash times by server incarnation.
        last_success_s : float
            ``-inf`` for none.
        gateway : str
            Name of the sending gateway.
        trial_until_s : float or None
            Time by which its attempts in progress have to be announced again.
        now : float

        Returns
        -------
        changed : bool
            Whether the history changed.
        is_behind : bool
            Whether the sender lacks a later success that is known to this gateway.
        """
        success_s = self.last_success_s(fingerprint)
        if is_later_success(last_success_s, success_s):
            success_s = last_success_s
        is_behind = bool(crashes_s) and is_later_success(success_s, last_success_s)
        is_unknown = fingerprint not in self._histories
        if is_unknown and not any(at_s > success_s for at_s in crashes_s.values()):
            return False, is_behind
        history = self._get_or_create(fingerprint)
        known = set(history.crashes_s)
        changed = history.merge(crashes_s, success_s, gateway, trial_until_s, now)
        if history.crashes_s.keys() - known:
            history.schedule_repeats(now)
        return changed, is_behind

    def take_due(self, now):
        """
        Choose the histories to be repeated to other gateways now.

        The deadlines of attempts in progress are extended.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of str
            Fingerprints, those with the most crashes first.
        """
        due = [
            key for key, each in self._histories.items() if each.next_repeat_s <= now
        ]
        due.sort(key=lambda key: -self._histories[key].crash_count())
        for key in due[:_MAX_REPEATED]:
            history = self._histories[key]
            if history.in_progress:
                history.trial_deadlines_s[self._gateway] = now + TRIAL_TIMEOUT_S
            history.schedule_next_repeat(now)
        return due[:_MAX_REPEATED]

    def most_crashed(self, count):
        """
        List the requests with the most crashes.

        Parameters
        ----------
        count : int
            Maximum number.

        Returns
        -------
        list of str
        """
        by_crashes = sorted(self._histories, key=self._eviction_key, reverse=True)
        return by_crashes[:count]

    def remove_expired(self, now):
        """
        Remove histories that have expired or have no crashes left.

        Parameters
        ----------
        now : float
        """
        for key, history in list(self._histories.items()):
            retention_s = _RETENTION_S if history.crashes_s else _SUCCESS_RETENTION_S
            if not history.in_progress and now - history.last_activity_s > retention_s:
                del self._histories[key]
