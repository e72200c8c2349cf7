"""Checkers of local times of the day and of time zones."""

import re
from functools import cache
from importlib.resources import files
from zoneinfo import ZoneInfo

from gooseberryyoke.document.field import register
from gooseberryyoke.document.scalar import ScalarField

__all__ = ["TimeOfDay", "TimeZone", "time_zone"]

_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
_MINUTES_AN_HOUR = 60
_ZONE_NAME = re.compile(r"[A-Za-z0-9_+-]+(?:/[A-Za-z0-9_+-]+){0,2}")


@cache
def time_zone(name):
    """
    Load a time zone from the release of the IANA data that is installed with us.

    Python prefers the files of the operating system. Those of two instances may be of
    different years, and callers would get two answers to which hour it is.

    Parameters
    ----------
    name : str

    Returns
    -------
    zoneinfo.ZoneInfo

    Raises
    ------
    ValueError
        If the data has no such zone.

    Examples
    --------
    >>> time_zone("Europe/Riga").key
    'Europe/Riga'
    """
    if not _ZONE_NAME.fullmatch(name):
        raise ValueError(name)
    try:
        with files("tzdata.zoneinfo").joinpath(name).open("rb") as file:
            return ZoneInfo.from_file(file, key=name)
    except OSError as exc:
        raise ValueError(name) from exc


@register("time of day")
class TimeOfDay(ScalarField):
    """
    A local time of the day, read as minutes since midnight.

    Examples
    --------
    >>> TimeOfDay().parse("22:30", quoted=False)
    1350
    """

    def parse(self, text, quoted):
        """Read a time of the day; see `ScalarField.parse`."""
        match = _TIME_OF_DAY.fullmatch(text)
        if match is None:
            raise ValueError(text)
        return int(match[1]) * _MINUTES_AN_HOUR + int(match[2])

    def content(self, value):
        """Show minutes as a time of the day; see `Field.content`."""
        hour, minute = divmod(value, _MINUTES_AN_HOUR)
        return f"{hour:02}:{minute:02}"

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "a time of the day from 00:00 to 23:59"


@register("time zone")
class TimeZone(ScalarField):
    """The name of an IANA time zone."""

    def parse(self, text, quoted):
        """Read the name of a time zone; see `ScalarField.parse`."""
        time_zone(text)
        return text

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "an IANA time zone, such as Europe/Riga"
