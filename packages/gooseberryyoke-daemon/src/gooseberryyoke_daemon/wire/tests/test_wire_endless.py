import h11
import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.wire import Address, ExchangeBroken, HttpClient, Request
from gooseberryyoke_daemon.wire.channel import Channel
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
EVENTS = 2000
EVENTS_A_TURN = 32
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\n\r\n"


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_many_events_of_one_read_leave_other_tasks_their_turns():
    # Guards against thousands of chunks of a byte that are parsed in one go, while
    # which nothing else is served.
    turns = 0

    async def take_turns():
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async def main():
        ours, theirs = trio.testing.memory_stream_pair()
        channel = Channel(ours, h11.CLIENT, 16 * 1024)
        channel.encode(
            h11.Request(method="GET", target="/", headers=[("host", "h")]),
            h11.EndOfMessage(),
        )
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        await theirs.send_all(head + b"1\r\nx\r\n" * EVENTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_turns)
            for _ in range(EVENTS):
                await channel.receive()
            nursery.cancel_scope.cancel()
        assert turns >= EVENTS // EVENTS_A_TURN

    run(main)


@pytest.mark.parametrize("count", [1, 16])
def test_some_replies_1xx_come_before_the_final_one(count):
    assert _status_after(INFORMATIONAL * count) == 204


def test_replies_1xx_without_end_are_broken_off():
    # Guards against a server that keeps a request waiting, and its connection read, for
    # as long as the caller has time.
    with pytest.raises(ExchangeBroken):
        _status_after(INFORMATIONAL * 1000)


def _status_after(informational):
    async def serve(stream):
        await receive_request(stream)
        await stream.send_all(informational + b"HTTP/1.1 204 No Content\r\n\r\n")
        await trio.sleep(1)

    async def main():
        nonlocal status
        network = MemoryNetwork(latency_s=0.001)
        listeners = await network.host(SERVER.host).listen(SERVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            client = HttpClient(network.host("10.0.0.2"))
            request = Request("GET", "/")
            try:
                async with client.open(SERVER, request, timeout_s=5) as reply:
                    status = reply.status
            except ExchangeBroken as exc:
                status = exc
            nursery.cancel_scope.cancel()

    status = None
    run(main)
    if isinstance(status, ExchangeBroken):
        raise status
    return status
