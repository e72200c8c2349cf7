"""A proxy on loopback whose connections can be delayed, cut, silenced and reset."""

import socket
import struct

import trio

__all__ = ["Proxy"]

_CHUNK_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """
    Passes bytes on between whoever connects and one address.

    Parameters
    ----------
    listen, target : Address

    Attributes
    ----------
    delay_s : float
        For each piece of data, in both directions.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self._open = {"there": trio.Event(), "back": trio.Event()}
        self._sockets = set()
        self.restore()

    def silence(self, *directions):
        """
        Hold all data back, on open and on new connections, until `restore`.

        Parameters
        ----------
        *directions : str
            ``there``, towards the target, or ``back``; both if none is given.
        """
        for direction in directions or tuple(self._open):
            self._open[direction] = trio.Event()

    def restore(self):
        """Pass data on at once again, what was held back included."""
        self.delay_s = 0.0
        for is_open in self._open.values():
            is_open.set()

    def reset(self):
        """Reset all open connections on both sides."""
        for stream in list(self._sockets):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            stream.socket.close()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        serve = trio.serve_tcp
        await serve(
            self._serve,
            self.listen.port,
            host=self.listen.host,
            task_status=task_status,
        )

    async def _serve(self, caller):
        try:
            target = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            # Nobody listens there now: the caller sees its connection closed.
            return
        self._sockets |= {caller, target}
        try:
            async with target, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, target, "there")
                nursery.start_soon(self._pump, target, caller, "back")
        finally:
            self._sockets -= {caller, target}

    async def _pump(self, source, sink, direction):
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                await trio.sleep(self.delay_s)
                await self._open[direction].wait()
                await sink.send_all(data)
            await self._open[direction].wait()
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Either side has gone, or `reset` was called: end both, as a host would.
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)
