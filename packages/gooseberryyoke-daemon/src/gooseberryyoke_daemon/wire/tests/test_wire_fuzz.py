import h11
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from gooseberryyoke_daemon.wire import Address, HttpServer, Limits, json_response
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
LIMITS = Limits(head_bytes=256, header_count=6, body_bytes=64)

PIECES = [
    b"GET / HTTP/1.1\r\n",
    b"POST /a?b=%zz HTTP/1.1\r\n",
    b"HEAD //[ HTTP/1.0\r\n",
    b"CONNECT a HTTP/1.1\r\n",
    b"host: a\r\n",
    b"content-length: 5\r\n",
    b"content-length: 99999999999999999999999\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: gzip, chunked\r\n",
    b"connection: close\r\n",
    b"connection: upgrade\r\nupgrade: h2c\r\n",
    b"expect: 100-continue\r\n",
    b"x-\xff: \xff\r\n",
    b" folded\r\n",
    b"\r\n",
    b"\n",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"hello",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x00",
    b"x" * 300,
]
MESSAGES = st.lists(
    st.one_of(st.sampled_from(PIECES), st.binary(max_size=40)), max_size=14
)
PAUSES_S = st.sampled_from([0.0, 0.0, 0.0, 1.0, 20.0])


async def answer(request):
    payload = {"path": request.path, "query": request.query, "n": len(request.body)}
    return json_response(200, payload)


async def drive(connect, parts, pauses_s):
    """Send the parts, end, and read all that the server sends."""
    stream = await connect()
    received = bytearray()

    async def send():
        try:
            for part, pause_s in zip(parts, pauses_s, strict=False):
                await stream.send_all(part)
                await trio.sleep(pause_s)
            await trio.sleep(1.0)
            await stream.send_eof()
        except trio.BrokenResourceError:
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        try:
            while data := await stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            pass
        nursery.cancel_scope.cancel()
    await stream.aclose()
    return bytes(received)


def check_replies(received):
    """Each answer is whole and valid HTTP; each refusal says not-run."""
    while received:
        conn = h11.Connection(h11.CLIENT)
        method = b"GET"
        conn.send(h11.Request(method=method, target="/", headers=[("host", "a")]))
        conn.send(h11.EndOfMessage())
        conn.receive_data(received)
        head = conn.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = conn.next_event()
        headers = dict(head.headers)
        assert head.status_code in (200, 400, 408, 413, 431, 501)
        refused = head.status_code != 200
        assert (headers.get(b"gooseberryyoke-verdict") == b"not-run") is refused
        rest = received.partition(b"\r\n\r\n")[2]
        if head.status_code == 200 and not rest.startswith(b'{"path"'):
            received = rest
            continue
        while isinstance(event := conn.next_event(), h11.Data):
            pass
        assert isinstance(event, h11.EndOfMessage)
        received = conn.trailing_data[0]
        assert not (refused and received)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(MESSAGES, st.lists(PAUSES_S, min_size=14, max_size=14))
def test_no_input_breaks_the_server(parts, pauses_s):
    async def main():
        network = MemoryNetwork()
        server = HttpServer(answer, LIMITS)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, await network.listen(SERVER))

            async def connect():
                return await network.connect(SERVER)

            received = await drive(connect, parts, pauses_s)
            await trio.sleep(5.0)
            assert (server.open_connections, server.exchanges) == (0, 0)
            assert server.counts["handler-failed"] == 0
            assert await drive(connect, [b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"], [0])
            nursery.cancel_scope.cancel()
        check_replies(received)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
