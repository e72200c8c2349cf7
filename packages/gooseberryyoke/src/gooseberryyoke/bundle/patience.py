"""Patience: how long a caller waits for a response, by the caller's local time."""

from datetime import datetime

from gooseberryyoke.document import time_zone
from gooseberryyoke.record import Record

__all__ = ["Patience", "PatienceWindow", "local_minute"]

_MINUTES_PER_HOUR = 60
_MINUTES_PER_DAY = 24 * _MINUTES_PER_HOUR


def local_minute(now_s, zone_name):
    """
    Convert a time to the minute of the local day.

    Parameters
    ----------
    now_s : float
        Seconds since 1970 in UTC.
    zone_name : str
        Name of an IANA time zone.

    Returns
    -------
    int
        Minutes since midnight in local wall-clock time. At the end of daylight saving
        time an hour occurs twice; at its start an hour is skipped.

    Examples
    --------
    >>> local_minute(0.0, "Europe/Riga")
    180
    """
    local = datetime.fromtimestamp(now_s, time_zone(zone_name))
    return local.hour * _MINUTES_PER_HOUR + local.minute


class PatienceWindow(Record):
    """
    Daily time window with its patience.

    A window whose end is earlier than its start spans midnight.

    Parameters
    ----------
    start_minute, until_minute : int
        Minutes since local midnight; the end is exclusive.
    patience_s : float
        Time in seconds that a caller waits for the complete response.

    Examples
    --------
    >>> night = PatienceWindow(22 * 60, 5 * 60, 60.0)
    >>> night.covers(23 * 60), night.covers(4 * 60), night.covers(5 * 60)
    (True, True, False)
    """

    __slots__ = ("start_minute", "until_minute", "patience_s")

    def __init__(self, start_minute, until_minute, patience_s):
        self.start_minute = start_minute
        self.until_minute = until_minute
        self.patience_s = patience_s

    def covers(self, minute):
        """
        Return whether a minute of the local day lies in the window.

        Parameters
        ----------
        minute : int

        Returns
        -------
        bool
        """
        length = (self.until_minute - self.start_minute) % _MINUTES_PER_DAY
        return (minute - self.start_minute) % _MINUTES_PER_DAY < length

    def overlaps(self, other):
        """
        Return whether two windows have a minute in common.

        Parameters
        ----------
        other : PatienceWindow

        Returns
        -------
        bool
        """
        return self.covers(other.start_minute) or other.covers(self.start_minute)


class Patience(Record):
    """
    Patience by time of day, with a default outside of the windows.

    Parameters
    ----------
    windows : tuple of PatienceWindow
        Windows that don't overlap.
    default_s : float, optional
        Patience in seconds outside of the windows; None leaves the value unspecified,
        so that the caller of `at_minute` falls back to another source.
    """

    __slots__ = ("windows", "default_s")

    def __init__(self, windows=(), default_s=None):
        self.windows = windows
        self.default_s = default_s

    def at_minute(self, minute):
        """
        Look up the patience at a minute of the local day.

        Parameters
        ----------
        minute : int

        Returns
        -------
        float or None
            Seconds; None if unspecified.
        """
        for window in self.windows:
            if window.covers(minute):
                return window.patience_s
        return self.default_s
