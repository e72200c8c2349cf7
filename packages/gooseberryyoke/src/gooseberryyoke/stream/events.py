"""Split a byte stream into complete server-sent events."""

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
"""Two line ends; the group is atomic so that CR LF never counts as two line ends."""
_ENDS_WITH_EVENT = re.compile(rb"(?>\r\n|\r|\n){2,}\Z")
BLANK_LINE_BYTES = 4
"""Maximum length of the blank line that ends an event and the line end before it."""


def is_event_stream(content_type):
    """
    Check whether a content type denotes server-sent events.

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
    Check whether data ends at the end of an event.

    Parameters
    ----------
    data : bytes
        The last `BLANK_LINE_BYTES` of a stream are enough.

    Returns
    -------
    bool
        False also if the data is empty.
    """
    return _ENDS_WITH_EVENT.search(data) is not None


class Event(Record):
    """
    A complete event.

    Parameters
    ----------
    data : bytes
        As received, with the blank line that ends it.
    id : str or None
        Value of the event's id field, if present.
    """

    __slots__ = ("data", "id")

    def __init__(self, data, id):
        self.data = data
        self.id = id


class EventSplitter:
    """
    Splits a byte stream into events.

    Only complete events are passed on. If a server fails in the middle of an event,
    another server can continue the caller's stream.

    Parameters
    ----------
    max_bytes : int
        Maximum length of an event, so that a stream without blank lines cannot exhaust
        the memory.
    """

    __slots__ = ("_buffer", "_max_bytes", "_searched_bytes")

    def __init__(self, max_bytes=1024 * 1024):
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._searched_bytes = 0

    @property
    def has_incomplete_event(self):
        """Whether the bytes received so far end within an event."""
        return bool(self._buffer.strip())

    @property
    def rest(self):
        """Bytes received after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data):
        """
        Add bytes and return the events that they complete.

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
        while match := _END_OF_EVENT.search(self._buffer, self._searched_bytes):
            raw = bytes(self._buffer[: match.end()])
            # A match object exports the buffer, which then cannot be resized.
            del match
            del self._buffer[: len(raw)]
            self._searched_bytes = 0
            events.append(Event(raw, _id_of(raw)))
        # The last bytes may be the start of the blank line, so the next search begins
        # there. A search from the first byte would rescan a long event with each piece.
        self._searched_bytes = max(0, len(self._buffer) - BLANK_LINE_BYTES + 1)
        if len(self._buffer) > self._max_bytes:
            raise ValueError(f"event longer than {self._max_bytes} bytes")
        return events


def _id_of(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
