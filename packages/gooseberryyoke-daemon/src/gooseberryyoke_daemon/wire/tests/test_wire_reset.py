import socket
import struct

import pytest
import trio
from trio.testing import MockClock

from gooseberryyoke_daemon.wire import (
    Address,
    ExchangeBroken,
    HttpClient,
    Request,
    TcpNetwork,
    listener_address,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork
from gooseberryyoke_daemon.wire.network import set_reset_on_close

LONG_BODY = bytes(16 * 1024 * 1024)
"""More than both ends of a connection hold, so that the write waits for the reader."""
RESETS_ON_CLOSE = struct.pack("ii", 1, 0)


async def answer_and_reset(stream):
    await stream.receive_some(1000)
    await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nsome")
    # The answer has to be there before the reset, which may take it away.
    await trio.sleep(0.2)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS_ON_CLOSE)
    await stream.aclose()


def test_a_reset_that_the_request_s_write_meets_is_no_end_of_the_answer():
    """The kernel tells of a reset once: after the write, a read sees a plain end."""

    async def main():
        network = TcpNetwork()
        listeners = await network.listen(Address("127.0.0.1", 0))
        address = listener_address(listeners[0])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, answer_and_reset, listeners)
            request = Request("POST", "/", [], LONG_BODY)
            with pytest.raises(ExchangeBroken):
                async with HttpClient(network).open(address, request) as reply:
                    await reply.read()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_late_reader_in_memory_sees_a_reset_after_what_was_sent():
    """The end that a close added behind the reset looked like a regular one."""

    async def send_and_reset(stream):
        await stream.send_all(b"some")
        await trio.sleep(0.1)
        set_reset_on_close(stream, True)
        await stream.aclose()

    async def main():
        network = MemoryNetwork(latency_s=0.001)
        address = Address("10.0.0.1", 80)
        listeners = await network.listen(address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, send_and_reset, listeners)
            stream = await network.connect(address)
            await trio.sleep(1.0)
            assert await stream.receive_some() == b"some"
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
