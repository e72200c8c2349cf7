"""Progress of followers in taking the departures that a process tells them."""

from gooseberryyoke.record import Record

__all__ = ["DepartureTelling", "Told"]

_PRESENT_S = 2.5
"""A follower that has not called for so long, in seconds, is not waited for."""
_LIMIT_S = 2.0
"""Time after which a departure is reported even if followers lack it, in seconds."""


class Told(Record):
    """
    Outcome of telling one departure.

    Parameters
    ----------
    departure : Departure
        The departure.
    after_s : float
        Time from its recording to this outcome, in seconds.
    told : int
        Number of followers that have taken it.
    missing : list of str
        Names of the present followers that have not, sorted.
    """

    __slots__ = ("departure", "after_s", "told", "missing")

    def __init__(self, departure, after_s, told, missing):
        self.departure = departure
        self.after_s = after_s
        self.told = told
        self.missing = missing


class _Open:
    """Departure that not all followers are known to have taken."""

    __slots__ = ("departure", "recorded_s", "told")

    def __init__(self, departure, recorded_s):
        self.departure = departure
        self.recorded_s = recorded_s
        self.told = set()


class DepartureTelling:
    """Which followers have taken which departures, by the counts that they send."""

    __slots__ = ("_followers", "_open")

    def __init__(self):
        self._followers = {}
        self._open = {}

    def add(self, departure, change_number, now):
        """
        Start to wait until the followers have taken a departure.

        Parameters
        ----------
        departure : Departure
            The departure.
        change_number : int
            Number under which it was recorded.
        now : float
            Current time, in seconds.
        """
        self._open[change_number] = _Open(departure, now)

    def hear(self, follower, change_count, now):
        """
        Record up to which change a follower has taken all.

        Parameters
        ----------
        follower : str
            Name of the follower.
        change_count : int
            Number of the last change that it has taken.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Told
            Departures that need no longer be waited for.
        """
        self._followers[follower] = now
        for change_number, waiting in self._open.items():
            if change_number <= change_count:
                waiting.told.add(follower)
        return self._take_ended(now) if self._open else []

    def _take_ended(self, now):
        self._followers = {
            name: heard_s
            for name, heard_s in self._followers.items()
            if now - heard_s <= _PRESENT_S
        }
        outcomes = {number: self._outcome(o, now) for number, o in self._open.items()}
        ended = [
            number
            for number, outcome in outcomes.items()
            if not outcome.missing or outcome.after_s >= _LIMIT_S
        ]
        for number in ended:
            del self._open[number]
        return [outcomes[number] for number in ended]

    def _outcome(self, waiting, now):
        missing = sorted(self._followers.keys() - waiting.told)
        after_s = now - waiting.recorded_s
        return Told(waiting.departure, after_s, len(waiting.told), missing)
