"""Field validators for local times of the day and for time zones."""

import re
from functools import cache
from importlib.resources import files
from zoneinfo import ZoneInfo

from gooseberryyoke.document.field import register
from gooseberryyoke.document.scalar import ScalarField

__all__ = ["TimeOfDay", "TimeZone", "time_zone"]

_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
_MINUTES_PER_HOUR = 60
_ZONE_NAME = re.compile(r"[A-Za-z0-9_+-]+(?:/[A-Za-z0-9_+-]+){0,2}")


@cache
def time_zone(name):
    """
    Load a time zone from the IANA data of the installed tzdata package.

    Python prefers the files of the operating system. These may be of different releases
    on two instances, which would then disagree about the local time.

    Parameters
    ----------
    name : str
        IANA name.

    Returns
    -------
    zoneinfo.ZoneInfo

    Raises
    ------
    ValueError
        If the data doesn't contain the zone.

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
    Local time of the day, parsed into minutes since midnight.

    Examples
    --------
    >>> TimeOfDay().parse("22:30", quoted=False)
    1350
    """

    def parse(self, text, quoted):
        """Parse a time of the day; see `ScalarField.parse`."""
        match = _TIME_OF_DAY.fullmatch(text)
        if match is None:
            raise ValueError(text)
        return int(match[1]) * _MINUTES_PER_HOUR + int(match[2])

    def content(self, value):
        """Format minutes as a time of the day; see `Field.content`."""
        hour, minute = divmod(value, _MINUTES_PER_HOUR)
        return f"{hour:02}:{minute:02}"

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return "a time of the day from 00:00 to 23:59"


@register("time zone")
class TimeZone(ScalarField):
    """Name of an IANA time zone."""

    def parse(self, text, quoted):
        """Parse the name of a time zone; see `ScalarField.parse`."""
        time_zone(text)
        return text

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return "an IANA time zone, such as Europe/Riga"
