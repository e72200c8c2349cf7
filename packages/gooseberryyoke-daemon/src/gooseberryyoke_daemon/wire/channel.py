"""HTTP/1.1 messages over one stream."""

import h11
import trio

__all__ = ["STREAM_ERRORS", "Channel"]

STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

_RECEIVE_BYTES = 16 * 1024
_EVENTS_A_TURN = 32
"""Events parsed before other tasks get a turn: what was received at once may have
thousands, of a byte each."""


class Channel:
    """
    A stream together with the protocol state of its connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        Carries the bytes.
    role : h11.CLIENT or h11.SERVER
        Of this end.
    head_bytes : int
        Longest head that is read.

    Attributes
    ----------
    is_write_broken : bool
        The connection was lost while something was sent. A kernel tells of a reset
        once: a read after that may see a plain end.
    """

    __slots__ = (
        "stream",
        "conn",
        "early_bytes",
        "idle_since_s",
        "is_write_broken",
        "_parsed",
    )

    def __init__(self, stream, role, head_bytes):
        self.stream = stream
        self.conn = h11.Connection(role, max_incomplete_event_size=head_bytes)
        self.early_bytes = 0
        self.idle_since_s = 0.0
        self.is_write_broken = False
        self._parsed = 0

    async def receive(self):
        """
        Read the next event of the peer.

        Returns
        -------
        h11.Event

        Raises
        ------
        h11.RemoteProtocolError
            If the peer breaks the protocol or ends within a message.
        """
        if self._parsed >= _EVENTS_A_TURN:
            self._parsed = 0
            await trio.lowlevel.checkpoint()
        self._parsed += 1
        while (event := self.conn.next_event()) is h11.NEED_DATA:
            await self.feed()
        return event

    async def feed(self):
        """
        Read some bytes ahead of their parsing.

        Returns
        -------
        bool
            False at the end of the stream.
        """
        self._parsed = 0
        data = await self.stream.receive_some(_RECEIVE_BYTES)
        self.conn.receive_data(data)
        self.early_bytes += len(data)
        return bool(data)

    def encode(self, *events):
        """
        Turn events into bytes, as if they were sent.

        Parameters
        ----------
        *events : h11.Event
            In the order of the protocol.

        Returns
        -------
        bytes
        """
        return b"".join(self.conn.send(event) or b"" for event in events)

    async def send(self, *events):
        """
        Write events in one go.

        Parameters
        ----------
        *events : h11.Event
            In the order of the protocol.
        """
        data = self.encode(*events)
        if data:
            await self.stream.send_all(data)

    def has_unread(self):
        """
        Tell whether bytes of a next message were already read.

        Returns
        -------
        bool
        """
        return bool(self.conn.trailing_data[0])
