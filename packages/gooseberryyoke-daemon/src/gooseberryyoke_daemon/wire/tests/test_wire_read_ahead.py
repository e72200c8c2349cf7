import h11
import trio
import trio.testing

from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
LIMITS = Limits(head_bytes=256, body_bytes=10_000, slow_sender_s=5, slow_reader_s=3)
WHOLE = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 400\r\n\r\n" + b"x" * 400


async def answer(request):
    return json_response(200, len(request.body))


async def wait_long(request):
    await trio.sleep(1000)


def serve(main, handler=answer):
    """Run `main(server, network)` against a server in memory."""

    async def within():
        network = MemoryNetwork()
        server = HttpServer(handler, LIMITS)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, await network.listen(SERVER))
            await main(server, network)
            nursery.cancel_scope.cancel()

    trio.run(within, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_bodies(stream, count):
    """Read whole answers, one after the other."""
    conn = h11.Connection(h11.CLIENT)
    bodies = []
    for _ in range(count):
        conn.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        conn.send(h11.EndOfMessage())
        body = b""
        while not isinstance(event := conn.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Data):
                body += event.data
        bodies.append(body)
        conn.start_next_cycle()
    return bodies


def test_peer_that_ends_with_its_request_holds_no_handler():
    """
    A caller sends the last byte of its request and dies.

    Its end may be read before the handler starts, so that nothing more is read
    while the handler runs. It must not run on for a caller who is gone.
    """

    async def main(server, network):
        for _ in range(20):
            stream = await network.connect(SERVER)
            await stream.send_all(WHOLE[:-1])
            await trio.sleep(0.1)
            await stream.send_all(WHOLE[-1:])
            await stream.aclose()
        await trio.sleep(1)
        assert (server.exchanges, server.open_connections) == (0, 0)
        assert server.counts["peer-gone"] == 20

    serve(main, wait_long)


def test_connection_reset_within_a_request_is_let_go_at_once():
    async def main(server, network):
        stream = await network.connect(SERVER)
        await stream.send_all(WHOLE[:100])
        await trio.sleep(0.1)
        network.reset("outside", SERVER)
        await trio.sleep(0.1)
        assert server.open_connections == 0

    serve(main)


def test_pause_between_chunks_is_not_taken_for_a_slow_reader():
    async def main(server, network):
        async with HttpClient(network).open(SERVER, Request("GET", "/")) as reply:
            assert await reply.read() == b"onetwo"

    async def pause(request):
        async def parts():
            yield b"one"
            await trio.sleep(LIMITS.slow_reader_s * 2)
            yield b"two"

        return Response(200, body=parts())

    serve(main, pause)


def test_bodies_beyond_the_bound_of_reading_ahead_are_read_one_by_one():
    async def main(server, network):
        stream = await network.connect(SERVER)
        for _ in range(3):
            await stream.send_all(WHOLE)
            assert await read_bodies(stream, 1) == [b"400"]
        await stream.aclose()
        await trio.sleep(0.1)
        assert server.counts["peer-gone"] == 0

    serve(main)


def test_requests_sent_ahead_are_read_once_the_answer_is_out():
    async def main(server, network):
        stream = await network.connect(SERVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, WHOLE * 200)
            assert await read_bodies(stream, 200) == [b"400"] * 200

    async def slow(request):
        await trio.sleep(1)
        return await answer(request)

    serve(main, slow)


def test_peer_is_still_watched_on_a_connection_that_has_carried_much():
    async def main(server, network):
        stream = await network.connect(SERVER)
        for _ in range(3):
            await stream.send_all(WHOLE)
            await read_bodies(stream, 1)
        await stream.send_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        await trio.sleep(0.1)
        await stream.send_all(b"GET")
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)
        assert (server.exchanges, server.counts["peer-gone"]) == (0, 1)

    async def wait_or_answer(request):
        handler = wait_long if request.path == "/wait" else answer
        return await handler(request)

    serve(main, wait_or_answer)
