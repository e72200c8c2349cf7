"""How long a caller waits, by the hour of the day where the caller is."""

from datetime import datetime

from gooseberryyoke.document import time_zone
from gooseberryyoke.record import Record

__all__ = ["Patience", "PatienceWindow", "local_minute"]

_MINUTES_AN_HOUR = 60
_MINUTES_A_DAY = 24 * _MINUTES_AN_HOUR


def local_minute(now_s, zone_name):
    """
    Find the minute of the local day.

    Parameters
    ----------
    now_s : float
        Seconds since 1970 in UTC.
    zone_name : str
        Of an IANA time zone.

    Returns
    -------
    int
        Minutes since local midnight, as a clock on the wall shows them: when clocks
        are set back the hour comes twice, and when set forward it doesn't come.

    Examples
    --------
    >>> local_minute(0.0, "Europe/Riga")
    180
    """
    local = datetime.fromtimestamp(now_s, time_zone(zone_name))
    return local.hour * _MINUTES_AN_HOUR + local.minute


class PatienceWindow(Record):
    """
    Patience between two local times of the day.

    A window that ends before it starts goes over midnight.

    Parameters
    ----------
    start_minute, until_minute : int
        Minutes since local midnight; the end is outside of the window.
    patience_s : float
        How long a caller waits for the whole answer.

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
        Tell whether a minute of the local day lies in the window.

        Parameters
        ----------
        minute : int

        Returns
        -------
        bool
        """
        length = (self.until_minute - self.start_minute) % _MINUTES_A_DAY
        return (minute - self.start_minute) % _MINUTES_A_DAY < length

    def overlaps(self, other):
        """
        Tell whether two windows share a minute.

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
    Windows of the day with their patience, and what holds outside of them.

    Parameters
    ----------
    windows : tuple of PatienceWindow
        None overlaps another.
    default_s : float, optional
        Outside of the windows; None leaves it to whoever asks next.
    """

    __slots__ = ("windows", "default_s")

    def __init__(self, windows=(), default_s=None):
        self.windows = windows
        self.default_s = default_s

    def at_minute(self, minute):
        """
        Find the patience at a minute of the local day.

        Parameters
        ----------
        minute : int

        Returns
        -------
        float or None
            Seconds.
        """
        for window in self.windows:
            if window.covers(minute):
                return window.patience_s
        return self.default_s
