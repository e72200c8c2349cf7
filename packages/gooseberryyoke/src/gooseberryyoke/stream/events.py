"""Server-sent events, cut out of a stream of bytes whole."""

from gooseberryyoke.record import Record

__all__ = ["Event", "EventSplitter"]


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

    __slots__ = ("_buffer", "_max_bytes")

    def __init__(self, max_bytes=1024 * 1024):
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    @property
    def has_part(self):
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

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
        while (end := _end_of_event(self._buffer)) > 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(Event(raw, _id_of(raw)))
        if len(self._buffer) > self._max_bytes:
            raise ValueError(f"event longer than {self._max_bytes} bytes")
        return events


def _end_of_event(buffer):
    ends = [
        found + len(blank)
        for blank in (b"\n\n", b"\r\n\r\n")
        if (found := buffer.find(blank)) >= 0
    ]
    return min(ends, default=0)


def _id_of(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
