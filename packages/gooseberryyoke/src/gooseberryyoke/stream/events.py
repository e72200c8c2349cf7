"""Server-sent events, cut out of a stream of bytes whole."""

import re

from gooseberryyoke.record import Record

__all__ = [
    "BLANK_LINE_BYTES",
    "Event",
    "EventSplitter",
    "ends_with_event",
    "is_event_stream",
]

_MEDIA_TYPE = "text/event-stream"
_END_OF_EVENT = re.compile(rb"(?>\r\n|\r|\n){2}")
"""Atomic, as a carriage return and its line feed are not two line ends."""
_ENDS_WITH_EVENT = re.compile(rb"(?>\r\n|\r|\n){2,}\Z")
BLANK_LINE_BYTES = 4
"""Most bytes of the blank line that ends an event, with the line end before it."""


def is_event_stream(content_type):
    """
    Tell whether a content type names server-sent events.

    Parameters
    ----------
    content_type : str
        Value of the header, with its parameters.

    Returns
    -------
    bool
    """
    return content_type.partition(";")[0].strip().lower() == _MEDIA_TYPE


def ends_with_event(data):
    """
    Tell whether bytes end with the end of an event.

    Parameters
    ----------
    data : bytes
        The last `BLANK_LINE_BYTES` of a stream are enough.

    Returns
    -------
    bool
        False also if there is no byte.
    """
    return _ENDS_WITH_EVENT.search(data) is not None


class Event(Record):
    """
    One whole event.

    Parameters
    ----------
    data : bytes
        As received, with the blank line that ends it.
    id : str or None
        Its number, if it has one.
    """

    __slots__ = ("data", "id")

    def __init__(self, data, id):
        self.data = data
        self.id = id


class EventSplitter:
    """
    Splits bytes into events.

    Only whole events are passed on: a server that breaks in the middle of one
    leaves the caller with a stream that another server can continue.

    Parameters
    ----------
    max_bytes : int
        Longest event; a stream without blank lines must not fill the memory.
    """

    __slots__ = ("_buffer", "_max_bytes", "_searched_bytes")

    def __init__(self, max_bytes=1024 * 1024):
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._searched_bytes = 0

    @property
    def has_part(self):
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    @property
    def rest(self):
        """Bytes after the last whole event."""
        return bytes(self._buffer)

    def feed(self, data):
        """
        Take bytes and give the events that they complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of Event

        Raises
        ------
        ValueError
            If an event is longer than allowed.
        """
        self._buffer += data
        events = []
        while found := _END_OF_EVENT.search(self._buffer, self._searched_bytes):
            raw = bytes(self._buffer[: found.end()])
            del found
            del self._buffer[: len(raw)]
            self._searched_bytes = 0
            events.append(Event(raw, _id_of(raw)))
        # The end of the event may have begun in the last bytes. From the first byte
        # on, each piece of a long event would be searched as often as pieces follow.
        self._searched_bytes = max(0, len(self._buffer) - BLANK_LINE_BYTES + 1)
        if len(self._buffer) > self._max_bytes:
            raise ValueError(f"event longer than {self._max_bytes} bytes")
        return events


def _id_of(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
