import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from gooseberryyoke.outcome import Verdict
from gooseberryyoke_daemon.wire import (
    Address,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    UnsendableRequest,
    WireError,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
LIMITS = Limits(head_bytes=256, body_bytes=64)

PIECES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 408 Request Timeout\r\ngooseberryyoke-verdict: not-run\r\n",
    b"HTTP/1.0 500 X\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    b"content-length: 5\r\n",
    b"content-length: 500\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: close\r\n",
    b"\r\n",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"hello",
    b"\x00",
    b"x" * 300,
]
REPLIES = st.lists(
    st.one_of(st.sampled_from(PIECES), st.binary(max_size=20)), max_size=8
)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(REPLIES)
def test_no_reply_raises_anything_but_a_wire_error(parts):
    async def main():
        network = MemoryNetwork()
        listeners = await network.listen(SERVER)
        open_now = 0

        async def misbehave(stream):
            nonlocal open_now
            open_now += 1
            try:
                await stream.receive_some()
                for part in parts:
                    await stream.send_all(part)
                    await trio.sleep(0.1)
                await stream.send_eof()
                while await stream.receive_some():
                    pass
            except trio.BrokenResourceError:
                pass
            open_now -= 1
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, misbehave, listeners)
            client = HttpClient(network, LIMITS)
            for repeatable in (False, True, True):
                try:
                    reply = await client.json(
                        "POST", SERVER, "/", {}, 20, repeatable=repeatable
                    )
                    assert 200 <= reply.status < 600
                except WireError as exc:
                    assert exc.verdict is Verdict.MAY_HAVE_RUN
            await client.aclose()
            await trio.sleep(5)
            assert open_now == 0
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "request_",
    [
        Request("GET", "/", [("x", "a\r\nb: c")]),
        Request("GET", "/", [("x y", "a")]),
        Request("GET", "/", [("x", "\u0100")]),
        Request("GET", "/a b"),
        Request("G T", "/"),
    ],
)
def test_invalid_request_is_not_run_and_leaves_the_client_usable(request_):
    """
    A header from elsewhere holds a line break, and would smuggle in another header.

    Nothing of the request is written; the error is of the wire, with not-run, so
    that whoever relays requests of others handles it as any failed exchange.
    """

    async def main():
        async def answer(request):
            return json_response(200, {})

        network = MemoryNetwork()
        server = HttpServer(answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, await network.listen(SERVER))
            client = HttpClient(network)
            with pytest.raises(UnsendableRequest) as caught:
                async with client.open(SERVER, request_):
                    pass
            assert caught.value.verdict is Verdict.NOT_RUN
            assert (await client.json("GET", SERVER, "/")).status == 200
            assert server.counts["requests"] == 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_reply_cut_in_its_head_says_so():
    async def main():
        network = MemoryNetwork()
        listeners = await network.listen(SERVER)

        async def cut(stream):
            await stream.receive_some()
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, cut, listeners)
            with pytest.raises(ExchangeBroken, match="closed before a reply"):
                await HttpClient(network).json("GET", SERVER, "/")
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
