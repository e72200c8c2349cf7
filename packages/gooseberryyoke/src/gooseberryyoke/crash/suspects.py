"""Decide which requests may be sent while a part of their prompts may crash servers.

This guards against requests that crash each server that begins to answer them, one
after the other. Each crash stops a whole group, and harmless requests share all other
prompt parts with the harmful ones.
"""

from collections import OrderedDict
from math import inf
from zlib import crc32

from gooseberryyoke.crash.clearance import FREE, Clearance, ClearanceKind, strictest
from gooseberryyoke.crash.history import TRIAL_TIMEOUT_S, is_later_success
from gooseberryyoke.crash.suspicion import Suspicion

__all__ = ["Suspects"]

_TRIAL_JITTER_S = 0.5
"""Upper bound in seconds of the delay before a trial, computed from gateway and part.
Without the delay several gateways would begin a trial at once: all of them learn of a
crash at the same moment, and the announcement of a trial takes some milliseconds to
arrive."""
_MULTI_PART_DELAY_S = 0.7
"""Additional delay in seconds for requests with several suspected parts. Requests with
only one of the parts are tried first: a success clears a harmless part before it can be
blamed for a crash that another part causes."""
_SUSPECTED_REQUEST_DELAY_S = 0.3
"""Additional delay in seconds for requests under which a server has crashed already.
If the request itself is harmful, as its own trial it would have harmless parts
refused."""
_MAX_SUCCESSES = 4096
_MAX_SUSPICIONS = 256
_RETENTION_S = 600.0
_REFUSED_RETENTION_S = 86_400.0
"""Retention in seconds of a part whose requests are refused. If removed sooner, it
would crash as many servers again after each quiet period."""


class Suspects:
    """
    Table of the suspected prompt parts known to this gateway.

    All times are in seconds on the clock of this gateway.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    """

    __slots__ = ("_gateway", "_successes_s", "_suspicions")

    def __init__(self, gateway):
        self._gateway = gateway
        self._successes_s = OrderedDict()
        self._suspicions = {}

    def __len__(self):
        return len(self._suspicions)

    def parts(self):
        """
        List the parts with a crash history.

        Returns
        -------
        list of str
        """
        return list(self._suspicions)

    def get(self, part):
        """
        Return the crash history of a part.

        Parameters
        ----------
        part : str

        Returns
        -------
        Suspicion or None
        """
        return self._suspicions.get(part)

    def last_success_s(self, part):
        """
        Return the time of the last successful answer to a request with a part.

        Parameters
        ----------
        part : str

        Returns
        -------
        float
            ``-inf`` if no success is known.
        """
        return self._successes_s.get(part, -inf)

    def count(self, now):
        """
        Count the suspected and the quarantined parts.

        Requests with a suspected part wait for a trial; those with a quarantined part
        are refused.

        Parameters
        ----------
        now : float

        Returns
        -------
        suspected, quarantined : int
        """
        counts = [suspicion.crash_count(now) for suspicion in self._suspicions.values()]
        return counts.count(1), sum(count > 1 for count in counts)

    def clearance(self, parts, now, is_request_suspected=False):
        """
        Decide whether a request may be sent.

        Parameters
        ----------
        parts : sequence of str
            Prompt parts that the request shares with others.
        now : float
        is_request_suspected : bool
            Whether a server has crashed under the same request before.

        Returns
        -------
        Clearance
            The decision for the most restricted part.
        """
        if not self._suspicions:
            return FREE
        suspected = self._suspected(parts, now)
        base_delay_s = _MULTI_PART_DELAY_S if len(suspected) > 1 else 0.0
        if is_request_suspected:
            base_delay_s += _SUSPECTED_REQUEST_DELAY_S
        return strictest(
            _part_clearance(part, suspicion, now, base_delay_s + self._jitter_s(part))
            for part, suspicion in suspected
        )

    def _suspected(self, parts, now):
        """List the parts whose crashes count, with their histories."""
        suspected = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None:
                suspicion.last_seen_s = now
                if suspicion.crash_count(now):
                    suspected.append((part, suspicion))
        return suspected

    def _jitter_s(self, part):
        return crc32(f"{self._gateway}/{part}".encode()) / 2**32 * _TRIAL_JITTER_S

    def begin_trial(self, parts, now):
        """
        Record that a request is sent on trial.

        Parameters
        ----------
        parts : sequence of str
        now : float

        Returns
        -------
        list of str
            The suspected parts, to be announced to other gateways.
        """
        tried = [
            part
            for part in parts
            if part in self._suspicions and self._suspicions[part].crash_count(now)
        ]
        for part in tried:
            self._suspicions[part].trial_deadlines_s[self._gateway] = (
                now + TRIAL_TIMEOUT_S
            )
        return tried

    def end_trial(self, parts):
        """
        Record that a trial of this gateway is over, whatever its result.

        Parameters
        ----------
        parts : sequence of str

        Returns
        -------
        list of str
            The parts that were on trial, to be announced to other gateways.
        """
        ended = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None and suspicion.trial_deadlines_s.pop(
                self._gateway, None
            ):
                ended.append(part)
        return ended

    def record_success(self, parts, now):
        """
        Record a successful answer.

        Parameters
        ----------
        parts : sequence of str
        now : float

        Returns
        -------
        list of str
            Parts whose earlier crashes were cleared.
        """
        cleared = []
        for part in parts:
            self._update_success_time(part, now)
            suspicion = self._suspicions.get(part)
            if suspicion is not None and suspicion.record_success(now):
                cleared.append(part)
        return cleared

    def _update_success_time(self, part, at_s):
        previous_s = self._successes_s.get(part, -inf)
        self._successes_s[part] = max(previous_s, at_s)
        self._successes_s.move_to_end(part)
        if len(self._successes_s) > _MAX_SUCCESSES:
            self._successes_s.popitem(last=False)

    def record_crash(self, incarnation, parts, at_s):
        """
        Record the crash of a server that was processing a request.

        Parameters
        ----------
        incarnation : str
            Incarnation of the server.
        parts : sequence of str
        at_s : float

        Returns
        -------
        list of str
            Parts for which the crash is new, without those evicted from a full table.
        """
        new = [
            part
            for part in parts
            if self._get_or_create(part).add_crash(incarnation, at_s)
        ]
        return [part for part in new if part in self._suspicions]

    def _get_or_create(self, part):
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            self._evict_if_full()
            suspicion = self._suspicions[part] = Suspicion(self.last_success_s(part))
        return suspicion

    def _evict_if_full(self):
        if len(self._suspicions) >= _MAX_SUSPICIONS:
            least = min(self._suspicions, key=self._eviction_key)
            del self._suspicions[least]

    def _eviction_key(self, part):
        suspicion = self._suspicions[part]
        return len(suspicion.crashes_s), suspicion.last_crash_s

    def merge(self, part, crashes_s, last_success_s, gateway, trial_until_s, now):
        """
        Merge the state of a part that another gateway sent.

        Parameters
        ----------
        part : str
        crashes_s : dict of str to float
            Crash times by server incarnation.
        last_success_s : float
            ``-inf`` for none.
        gateway : str
            Name of the sending gateway.
        trial_until_s : float or None
            Deadline of the sender's own trial.
        now : float

        Returns
        -------
        changed : bool
            Whether the state of the part changed.
        is_behind : bool
            Whether the sender lacks a later success that is known to this gateway.
        """
        success_s = self.last_success_s(part)
        if is_later_success(last_success_s, success_s):
            success_s = last_success_s
            self._update_success_time(part, success_s)
        is_behind = bool(crashes_s) and is_later_success(success_s, last_success_s)
        known = self._suspicions.get(part)
        if known is None and not any(at_s > success_s for at_s in crashes_s.values()):
            return False, is_behind
        suspicion = self._get_or_create(part)
        changed = suspicion.merge(crashes_s, success_s, gateway, trial_until_s, now)
        return changed, is_behind

    def remove_expired(self, now):
        """
        Remove parts that have expired or have no crashes left.

        Parameters
        ----------
        now : float
        """
        for part, suspicion in list(self._suspicions.items()):
            is_refused = suspicion.crash_count(now) > 1
            retention_s = _REFUSED_RETENTION_S if is_refused else _RETENTION_S
            is_expired = now - suspicion.last_activity_s > retention_s
            if is_expired or not suspicion.crashes_s:
                del self._suspicions[part]


def _part_clearance(part, suspicion, now, delay_s):
    count = suspicion.crash_count(now)
    earliest_s = suspicion.next_trial_s(now) + delay_s
    trial_until_s = suspicion.trial_until_s(now)
    if trial_until_s is None and now >= earliest_s:
        return Clearance(ClearanceKind.TRIAL, now, part)
    until_s = earliest_s if trial_until_s is None else max(earliest_s, trial_until_s)
    # A trial in progress decides within moments, also on a part that was refused.
    is_decided_soon = count == 1 or trial_until_s is not None
    kind = ClearanceKind.WAIT if is_decided_soon else ClearanceKind.REFUSED
    return Clearance(kind, until_s, part)
