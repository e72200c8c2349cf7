"""The server's end of a connection, read by one task for all its life."""

import h11
import trio

from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS, Channel

__all__ = ["ServerChannel"]

_LAST_WITHOUT_CHUNKS = b"1.0"
_FIRST_WITH_CHUNKS = b"1.1"


class ServerChannel(Channel):
    """
    A channel whose bytes are read ahead by `pump`.

    One task reads for the whole life of the connection. It sees at once when the
    peer goes away, also while a handler runs, without a task for each exchange.

    Parameters
    ----------
    stream : trio.abc.Stream
        Carries the bytes.
    head_bytes : int
        Longest head that is read, and most bytes read ahead of an answer.
    """

    __slots__ = ("is_ended", "_head_bytes", "_is_broken", "_news", "_on_end", "_room")

    def __init__(self, stream, head_bytes):
        super().__init__(stream, h11.SERVER, head_bytes)
        self.is_ended = False
        self._head_bytes = head_bytes
        self._is_broken = False
        self._on_end = None
        self._news = trio.lowlevel.ParkingLot()
        self._room = trio.lowlevel.ParkingLot()

    async def pump(self):
        """Read until the peer ends, held up while too much was sent ahead."""
        try:
            while await self.feed():
                self._news.unpark_all()
                while self._on_end and self.early_bytes > self._head_bytes:
                    await self._room.park()
        except STREAM_ERRORS:
            self._is_broken = True
        self.is_ended = True
        self._news.unpark_all()
        if self._on_end is not None:
            self._on_end()

    async def receive(self):
        """See `Channel.receive`."""
        while (event := self.conn.next_event()) is h11.NEED_DATA:
            if self._is_broken:
                raise trio.BrokenResourceError("connection lost")
            await self._news.park()
        return event

    async def wait_for_bytes(self):
        """
        Wait for the first bytes of the next request.

        Returns
        -------
        bool
            False if the peer has ended instead.
        """
        while not self.has_unread() and not self.is_ended:
            await self._news.park()
        return self.has_unread()

    def begin_answer(self, on_end):
        """
        Tell of the peer's end from now on, and bound what is read ahead.

        Parameters
        ----------
        on_end : callable
            Called when the peer has ended.
        """
        self.early_bytes = 0
        self._on_end = on_end

    @property
    def sends_chunks(self):
        """Whether the peer can be sent chunks; HTTP/1.0 has none."""
        version = self.conn.their_http_version
        return version is not None and version >= _FIRST_WITH_CHUNKS

    def send_no_chunks(self):
        """Have the answer end with the connection, as for a peer of HTTP/1.0."""
        self.conn.their_http_version = _LAST_WITHOUT_CHUNKS

    def end_answer(self):
        """Go back to reading for the next request."""
        self._on_end = None
        self._room.unpark_all()
