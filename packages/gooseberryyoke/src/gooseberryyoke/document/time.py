"""Checkers of local times of the day and of time zones."""

import re
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from gooseberryyoke.document.field import register
from gooseberryyoke.document.scalar import ScalarField

__all__ = ["TimeOfDay", "TimeZone"]

_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
_MINUTES_AN_HOUR = 60


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
        try:
            ZoneInfo(text)
        except (ZoneInfoNotFoundError, OSError) as exc:
            raise ValueError(text) from exc
        return text

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "an IANA time zone, such as Europe/Riga"
