"""Streams of the network in memory."""

from collections import deque

import trio

__all__ = ["MemoryStream", "Pipe"]

_WINDOW_BYTES = 64 * 1024
_END = b""


class Pipe:
    """
    One direction of a connection.

    Parameters
    ----------
    network : MemoryNetwork
        Says whether the link is cut and how long bytes travel.
    source, destination : Address
        Ends.
    """

    def __init__(self, network, source, destination):
        self.source = source
        self.destination = destination
        self._network = network
        self._parts = deque()
        self._unread_bytes = 0
        self._silent = False
        self._broken = False
        self._reader_gone = False
        self._ended = False
        self._news = trio.lowlevel.ParkingLot()

    def wake(self):
        """Let both ends look again."""
        self._news.unpark_all()

    def silence(self):
        """Drop all bytes from now on, those under way too."""
        self._silent = True
        self._parts.clear()

    def reset(self):
        """Break the pipe at both ends."""
        self._broken = True
        self.wake()

    def close_reader(self):
        """Note that nobody reads any more."""
        self._reader_gone = True
        self.wake()

    def is_done(self):
        """Tell whether both ends have finished with the pipe."""
        return self._broken or (self._ended and self._reader_gone)

    def is_readable(self):
        """Tell whether a read would return at once."""
        return self._broken or self._ready()

    def put_end(self):
        """Write the end of the stream, once; after a reset there is none."""
        if not self._ended and not self._broken:
            self._append(_END)
        self._ended = True

    async def put(self, data):
        """
        Write bytes, waiting while the window is full.

        Parameters
        ----------
        data : bytes
            Any number.
        """
        view = memoryview(bytes(data))
        while view:
            while not self._refuses() and self._unread_bytes >= _WINDOW_BYTES:
                await self._news.park()
            if self._ended:
                raise trio.ClosedResourceError("closed while sending")
            if self._refuses():
                raise trio.BrokenResourceError("connection reset by the peer")
            part = view[: _WINDOW_BYTES - self._unread_bytes]
            self._append(bytes(part))
            view = view[len(part) :]

    async def get(self, max_bytes):
        """
        Read what has arrived, or wait for it.

        Parameters
        ----------
        max_bytes : int
            At most so many.

        Returns
        -------
        bytes
            Empty at the end.
        """
        while not self._ready():
            if self._reader_gone:
                raise trio.ClosedResourceError("closed while reading")
            if self._broken:
                raise trio.BrokenResourceError("connection reset by the peer")
            await self._wait()
        _, part = self._parts[0]
        if part == _END:
            return _END
        self._parts.popleft()
        if len(part) > max_bytes:
            self._parts.appendleft((trio.current_time(), part[max_bytes:]))
            part = part[:max_bytes]
        self._unread_bytes -= len(part)
        self.wake()
        return part

    def _append(self, part):
        self._unread_bytes += len(part)
        if not self._silent:
            delay_s = self._network.latency_s(self.source.host, self.destination.host)
            self._parts.append((trio.current_time() + delay_s, part))
            self.wake()

    def _held(self):
        return self._network.is_cut(self.source.host, self.destination.host)

    def _refuses(self):
        lost = self._silent or self._held()
        return self._broken or (self._reader_gone and not lost)

    def _ready(self):
        if not self._parts or self._held():
            return False
        return self._parts[0][0] <= trio.current_time()

    async def _wait(self):
        if not self._parts or self._held():
            await self._news.park()
            return
        with trio.move_on_at(self._parts[0][0]):
            await self._news.park()


class MemoryStream(trio.abc.HalfCloseableStream):
    """
    One end of a connection in memory.

    Parameters
    ----------
    outgoing, incoming : Pipe
        Its directions, as this end sees them.

    Attributes
    ----------
    local, peer : Address
        Ends of the connection.
    resets_on_close : bool
        See `gooseberryyoke_daemon.wire.network.set_reset_on_close`.
    """

    def __init__(self, outgoing, incoming):
        self.local = outgoing.source
        self.peer = outgoing.destination
        self._outgoing = outgoing
        self._incoming = incoming
        self._sent_end = False
        self._closed = False
        self.resets_on_close = False

    def is_readable(self):
        """Tell whether a read would return at once."""
        return self._incoming.is_readable()

    def reset(self):
        """Break the connection at both ends."""
        self._outgoing.reset()
        self._incoming.reset()

    async def send_all(self, data):
        """Write bytes."""
        self._check_open()
        if self._sent_end:
            raise trio.ClosedResourceError("the end was sent")
        await trio.lowlevel.checkpoint()
        await self._outgoing.put(data)

    async def wait_send_all_might_not_block(self):
        """Do nothing: the window isn't told."""
        self._check_open()
        await trio.lowlevel.checkpoint()

    async def send_eof(self):
        """End what this end sends."""
        self._check_open()
        await trio.lowlevel.checkpoint()
        self._sent_end = True
        self._outgoing.put_end()

    async def receive_some(self, max_bytes=None):
        """Read bytes; none at the end."""
        self._check_open()
        await trio.lowlevel.checkpoint()
        data = await self._incoming.get(max_bytes or _WINDOW_BYTES)
        self._check_open()
        return data

    async def aclose(self):
        """Close both directions."""
        if not self._closed:
            self._closed = True
            if self.resets_on_close:
                self.reset()
            self._outgoing.put_end()
            self._incoming.close_reader()
        await trio.lowlevel.checkpoint()

    def _check_open(self):
        if self._closed:
            raise trio.ClosedResourceError("this end is closed")
