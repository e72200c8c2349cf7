import h11
import orjson
import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.wire import (
    Address,
    HttpServer,
    Limits,
    Response,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
SMALL = Limits(
    head_bytes=512,
    header_count=5,
    body_bytes=100,
    slow_sender_s=2.0,
    slow_reader_s=3.0,
    connections=2,
    refused_connections=1,
    connection_retry_s=1.5,
    idle_s=10.0,
)
WHOLE = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


async def answer(request):
    return json_response(200, {"path": request.path, "body": request.body.decode()})


def serve(main, handler=answer, limits=SMALL):
    """Run `main(server, connect)` against a server in memory."""

    async def within():
        network = MemoryNetwork()
        server = HttpServer(handler, limits)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, await network.listen(SERVER))
            await main(server, lambda: network.connect(SERVER))
            nursery.cancel_scope.cancel()

    trio.run(within, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_reply(stream, conn=None):
    """Read one response; (status, headers, body)."""
    if conn is None:
        conn = h11.Connection(h11.CLIENT)
        conn.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        conn.send(h11.EndOfMessage())
    body = b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head.status_code, dict(head.headers.raw_items()), body


async def read_refusal(stream, status, reason):
    got, headers, body = await read_reply(stream)
    payload = orjson.loads(body)
    assert (got, payload["reason"]) == (status, reason)
    assert headers[b"content-type"] == b"application/problem+json"
    assert headers[b"gooseberryyoke-verdict"] == b"not-run"
    assert payload["verdict"] == "not-run"
    assert headers[b"connection"] == b"close"
    assert await stream.receive_some() == b""
    return headers


@pytest.mark.parametrize(
    "sent, status, reason",
    [
        (
            b"GET /" + b"x" * 600 + b" HTTP/1.1\r\nhost: a\r\n\r\n",
            431,
            "head-too-large",
        ),
        (b"GET /" + b"x" * 2000, 431, "head-too-large"),
        (
            b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x: y\r\n" * 5 + b"\r\n",
            431,
            "too-many-headers",
        ),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n",
            413,
            "body-too-large",
        ),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"40\r\n" + b"x" * 64 + b"\r\n40\r\n" + b"x" * 64 + b"\r\n0\r\n\r\n",
            413,
            "body-too-large",
        ),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
            b"content-length: 101\r\n\r\n",
            413,
            "body-too-large",
        ),
        (b"GET / HTTP/1.1\r\nhost", 408, "slow-sender"),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf",
            408,
            "slow-sender",
        ),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "bad-request"),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request"),
        (b"GET / HTTP/1.1\r\nhost: a\r\n b\x00d\r\n\r\n", 400, "bad-request"),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
            400,
            "bad-request",
        ),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "bad-request",
        ),
        (b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 501, "method-not-supported"),
    ],
)
def test_input_beyond_a_limit_is_refused_as_not_run(sent, status, reason):
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(sent)
        await read_refusal(stream, status, reason)
        await stream.aclose()
        await trio.sleep(0.1)
        assert server.counts[f"refused-{reason}"] == 1
        assert (server.counts["requests"], server.open_connections) == (0, 0)

    serve(main)


def test_request_at_the_limits_is_served():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(
            b"POST /x HTTP/1.1\r\nhost: a\r\na: 1\r\nb: 2\r\nc: 3\r\n"
            b"content-length: 100\r\n\r\n" + b"x" * 100
        )
        status, _, body = await read_reply(stream)
        assert (status, len(orjson.loads(body)["body"])) == (200, 100)

    serve(main)


def test_sender_of_single_bytes_gets_no_more_time_than_another():
    async def main(server, connect):
        stream = await connect()
        started_s = trio.current_time()
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"G")
                await trio.sleep(0.5)
        assert trio.current_time() - started_s < 2 * SMALL.slow_sender_s
        assert server.counts["refused-slow-sender"] == 1
        assert server.open_connections == 0

    serve(main)


def test_one_connection_too_many_is_told_when_to_come_back():
    async def main(server, connect):
        kept = [await connect() for _ in range(2)]
        headers = await read_refusal(await connect(), 503, "too-many-connections")
        assert headers[b"retry-after"] == b"2"
        for stream in kept:
            await stream.send_all(WHOLE)
            assert (await read_reply(stream))[0] == 200
        await kept[0].aclose()
        await trio.sleep(0.1)
        stream = await connect()
        await stream.send_all(WHOLE)
        assert (await read_reply(stream))[0] == 200

    serve(main)


def test_flood_of_connections_beyond_the_limit_is_closed_without_answer():
    async def main(server, connect):
        for _ in range(3):
            await connect()
        with pytest.raises(trio.BrokenResourceError):
            stream = await connect()
            assert await stream.receive_some() == b""
            await stream.send_all(b"x")
        assert server.counts["refused-connections"] == 2

    serve(main)


def test_peer_that_reads_nothing_is_cut_off_and_its_handler_ended():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(WHOLE)
        await trio.sleep(SMALL.slow_reader_s + 0.1)
        assert server.counts["slow-reader"] == 1
        assert (server.open_connections, ended) == (0, [True])

    ended = []

    async def flood(request):
        async def parts():
            try:
                while True:
                    yield b"x" * 10_000
            finally:
                ended.append(True)

        return Response(200, body=parts())

    serve(main, flood)


def test_idle_connection_is_closed_with_a_not_run_answer():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(WHOLE)
        assert (await read_reply(stream))[0] == 200
        started_s = trio.current_time()
        await read_refusal(stream, 408, "idle-connection")
        assert trio.current_time() - started_s == pytest.approx(SMALL.idle_s, abs=0.1)

    serve(main)


def test_requests_sent_together_are_answered_in_their_order():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(
            b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n"
        )
        conn = h11.Connection(h11.CLIENT)
        for path in ("/1", "/2"):
            conn.send(h11.Request(method="GET", target=path, headers=[("host", "a")]))
            conn.send(h11.EndOfMessage())
            _, _, body = await read_reply(stream, conn)
            assert orjson.loads(body)["path"] == path
            conn.start_next_cycle()

    serve(main)


def test_bytes_sent_ahead_of_an_answer_are_not_read_without_end():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(WHOLE)
        with trio.move_on_after(5) as scope:
            await stream.send_all(b"x" * 1_000_000)
        assert scope.cancelled_caught
        assert server.exchanges == 1

    async def slow(request):
        await trio.sleep(100)

    serve(main, slow)


def test_head_request_has_no_body_and_keeps_the_connection():
    async def main(server, connect):
        stream = await connect()
        await stream.send_all(b"HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n" + WHOLE)
        conn = h11.Connection(h11.CLIENT)
        conn.send(h11.Request(method="HEAD", target="/x", headers=[("host", "a")]))
        conn.send(h11.EndOfMessage())
        status, headers, body = await read_reply(stream, conn)
        assert (status, body) == (200, b"")
        assert int(headers[b"content-length"]) > 0
        conn.start_next_cycle()
        conn.send(h11.Request(method="GET", target="/x", headers=[("host", "a")]))
        conn.send(h11.EndOfMessage())
        assert (await read_reply(stream, conn))[0] == 200

    serve(main)
