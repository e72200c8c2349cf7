"""Crash history of one request."""

from math import inf

from gooseberryyoke.crash.history import CrashHistory

__all__ = ["MAX_SERVERS", "RequestHistory"]

MAX_SERVERS = 3
"""Servers that one request may crash. With fewer, a harmless request that loses its
server twice, to a failing rack for example, would lose its next attempt as well."""
_SAME_CAUSE_S = 0.5
"""Crashes closer together than this, in seconds, may have a common cause, such as the
failure of a rack, unless the request was already suspected when it was sent."""
_NEWS_DELAY_S = 0.02
"""Time in seconds by which the crash of another gateway may appear later than it was;
the ages in records exclude the transit time of the datagram."""
_UNSUSPECTED = "~"
"""Marks a server that a request was sent to before it was known to be suspected."""
_UNINFORMED = "!"
"""Marks a server that a request was sent to after an earlier crash, of which the
sender had not been told yet."""
_NEXT_INCARNATION = "+"
"""Appended to an incarnation for the unknown one that follows it."""
_FIRST_REPEAT_S = 1.0
_MAX_REPEAT_S = 8.0
_SINGLE_CRASH_REPEAT_S = 16.0
"""Interval in seconds up to which a history with one crash is repeated. Most of them
belong to harmless requests whose servers crashed for other reasons."""


class RequestHistory(CrashHistory):
    """
    Crashes of servers that were processing one request.

    Attributes
    ----------
    sends : int
        Attempts of this gateway that are in progress.
    checks : int
        Broken attempts of this gateway whose servers are being checked for a crash.
    next_repeat_s, repeat_interval_s : float
        Schedule by which the history is repeated to other gateways.
    """

    __slots__ = ("sends", "checks", "next_repeat_s", "repeat_interval_s", "_sent_s")

    def __init__(self):
        super().__init__()
        self.sends = 0
        self.checks = 0
        self.next_repeat_s = inf
        self.repeat_interval_s = _FIRST_REPEAT_S
        # Of this gateway's own attempts that were not known to be suspected.
        self._sent_s = {}

    def crash_count(self):
        """
        Count the crashes with distinct causes.

        Equal requests may be at many servers. When these fail together, the crashes
        count once; servers that the request crashes one after the other all count.

        Returns
        -------
        int
        """
        count, cause_start_s = 0, -inf
        for incarnation, at_s in sorted(
            self.crashes_s.items(), key=lambda each: each[1]
        ):
            if not incarnation.startswith(_UNSUSPECTED):
                count += 1
            elif at_s - cause_start_s >= _SAME_CAUSE_S:
                count, cause_start_s = count + 1, at_s
        return count

    @property
    def is_suspected(self):
        """Whether a server has crashed, or may have crashed, under the request."""
        return bool(self.crashes_s) or self.checks > 0

    @property
    def in_progress(self):
        """Attempts of this gateway that may still crash a server."""
        return self.sends + self.checks

    @property
    def is_refused(self):
        """Whether the request may not be sent to any further server."""
        return self.crash_count() >= MAX_SERVERS

    def schedule_repeats(self, now):
        """
        Repeat the history often from now on, as it has changed.

        Parameters
        ----------
        now : float
        """
        self.repeat_interval_s = _FIRST_REPEAT_S
        self.next_repeat_s = now + self.repeat_interval_s

    def schedule_next_repeat(self, now):
        """
        Repeat the history less often.

        Parameters
        ----------
        now : float
        """
        if not self.in_progress:
            self.repeat_interval_s *= 2
        if self.crash_count() > 1:
            self.repeat_interval_s = min(self.repeat_interval_s, _MAX_REPEAT_S)
        is_over = self.repeat_interval_s > _SINGLE_CRASH_REPEAT_S
        self.next_repeat_s = inf if is_over else now + self.repeat_interval_s

    def add_request_crash(self, incarnation, at_s, was_suspected, sent_s):
        """
        Record the crash of a server that was processing the request.

        Parameters
        ----------
        incarnation : str
        at_s : float
        was_suspected : bool
            Whether the request was suspected when it was sent.
        sent_s : float
            Time at which it was sent.

        Returns
        -------
        bool
            Whether the crash is new.
        """
        if not was_suspected:
            return self._add_unsuspected(incarnation, at_s, sent_s)
        while incarnation in self.crashes_s:
            # The server was restarted and has not announced its new incarnation yet.
            incarnation += _NEXT_INCARNATION
        return self.add_crash(incarnation, at_s)

    def _add_unsuspected(self, incarnation, at_s, sent_s):
        previous_s = self.crashes_s.get(_UNSUSPECTED + incarnation, inf)
        if previous_s < sent_s:
            return self.add_crash(_UNINFORMED + incarnation, at_s)
        is_new = self.add_crash(_UNSUSPECTED + incarnation, at_s)
        if is_new:
            self._sent_s[incarnation] = sent_s
            self._mark_uninformed()
        return is_new

    def add_crash(self, incarnation, at_s):
        """
        Record a crash of this gateway or another one; see `CrashHistory.add_crash`.

        Parameters
        ----------
        incarnation : str
            With the mark of how the request came to it.
        at_s : float

        Returns
        -------
        bool
        """
        if incarnation.startswith(_UNSUSPECTED):
            server = incarnation.removeprefix(_UNSUSPECTED)
            if self._is_same(_UNINFORMED + server, at_s):
                return False
            if at_s < self._sent_s.get(server, -inf):
                # The server was back unannounced when this gateway sent to it.
                self._rename_uninformed(server)
        is_new = super().add_crash(incarnation, at_s)
        if incarnation.startswith(_UNINFORMED):
            unsuspected = _UNSUSPECTED + incarnation.removeprefix(_UNINFORMED)
            if self._is_same(unsuspected, at_s):
                del self.crashes_s[unsuspected]
        return is_new

    def _is_same(self, incarnation, at_s):
        """Tell whether a crash is known by another mark; news of it may be late."""
        known_s = self.crashes_s.get(incarnation, inf)
        return abs(known_s - at_s) < _SAME_CAUSE_S

    def merge(self, crashes_s, last_success_s, gateway, trial_until_s, now):
        """See `CrashHistory.merge`."""
        count = self.crash_count()
        changed = super().merge(crashes_s, last_success_s, gateway, trial_until_s, now)
        self._mark_uninformed()
        return changed or self.crash_count() != count

    def _mark_uninformed(self):
        """Mark own crashes whose attempts were sent after another crash."""
        for server, sent_s in list(self._sent_s.items()):
            own = _UNSUSPECTED + server
            if own not in self.crashes_s:
                del self._sent_s[server]
            elif any(
                at_s - _NEWS_DELAY_S < sent_s
                for incarnation, at_s in self.crashes_s.items()
                if incarnation != own
            ):
                self._rename_uninformed(server)

    def _rename_uninformed(self, server):
        del self._sent_s[server]
        at_s = self.crashes_s.pop(_UNSUSPECTED + server, None)
        if at_s is not None:
            self.crashes_s[_UNINFORMED + server] = at_s
