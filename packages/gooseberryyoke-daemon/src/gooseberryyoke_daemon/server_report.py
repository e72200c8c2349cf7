"""What a server says of itself in an answer, decoded in one place."""

from gooseberryyoke.placement import parse_rate_limit, parse_retry_after
from gooseberryyoke.record import Record

__all__ = ["ServerReport", "read_report"]

_REFUSALS = (429, 503)
_MOST_DIGITS = 18
_MOST_REQUESTS = 100_000
"""More than any server runs or holds."""


class ServerReport(Record):
    """
    What a server says of itself in an answer.

    Parameters
    ----------
    load : tuple of (int, int) or None
        Requests that run and that wait there.
    rate : float or None
        Requests a second that it takes from all gateways together.
    backoff_s : float or None
        For which it wants nothing from this gateway.
    is_leaving : bool
    cold_ms : int or None
        For which it is still cold, unbounded; None if not told.
    unreadable : tuple of str
        Fields that were told but can't be read; what was known of them holds.
    """

    __slots__ = ("load", "rate", "backoff_s", "is_leaving", "unreadable", "cold_ms")

    def __init__(
        self,
        load=None,
        rate=None,
        backoff_s=None,
        is_leaving=False,
        unreadable=(),
        cold_ms=None,
    ):
        self.cold_ms = cold_ms
        self.load = load
        self.rate = rate
        self.backoff_s = backoff_s
        self.is_leaving = is_leaving
        self.unreadable = tuple(unreadable)


def read_report(status, headers, names):
    """
    Decode an answer's headers.

    Parameters
    ----------
    status : int
    headers : iterable of (str, str)
        Pairs with lower-case names.
    names : HeaderNames

    Returns
    -------
    ServerReport
    """
    headers = list(headers)
    fields = {
        "load": (_read_load, _told(headers, [names.load])),
        "rate": (parse_rate_limit, _told(headers, names.limit)),
        "is_leaving": (_read_flag, _told(headers, names.leaving)),
        "cold_ms": (_read_cold, _told(headers, names.cold)),
    }
    if status in _REFUSALS:
        fields["backoff_s"] = (parse_retry_after, _told(headers, ["retry-after"]))
    values, unreadable = {}, []
    for field, (read, text) in fields.items():
        if text is None:
            continue
        value = read(text)
        if value is None:
            unreadable.append(field)
        else:
            values[field] = value
    return ServerReport(**values, unreadable=unreadable)


def _told(headers, names):
    """Join the values of headers by any of the names; None if there are none."""
    texts = [value for name, value in headers if name in names]
    return ",".join(texts) if texts else None


def _read_load(text):
    try:
        running, waiting, _ = (int(part) for part in text.split(","))
    except ValueError:
        return None
    # A larger one would fill the server for long, and beyond 308 digits no sum with a
    # float can be made of it.
    if not all(0 <= count <= _MOST_REQUESTS for count in (running, waiting)):
        return None
    return running, waiting


def _read_cold(text):
    """Read milliseconds, or several with commas between, of which the most count."""
    parts = [part.strip() for part in text.split(",")]
    found = [int(part) for part in parts if _is_whole(part)]
    return max(found, default=None)


def _is_whole(text):
    return text.isascii() and text.isdigit() and len(text) <= _MOST_DIGITS


def _read_flag(text):
    values = {part.strip() for part in text.split(",")}
    if "1" in values:
        return True
    return False if values == {"0"} else None
