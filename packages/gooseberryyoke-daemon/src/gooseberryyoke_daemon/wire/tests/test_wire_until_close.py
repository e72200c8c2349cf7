"""Answers that their connection ends, on real sockets."""

from contextlib import asynccontextmanager

import pytest
import trio

from gooseberryyoke_daemon.wire import (
    Address,
    BodyCut,
    HttpServer,
    Limits,
    Response,
    TcpNetwork,
    listener_address,
)
from gooseberryyoke_daemon.wire.tests.test_wire_tls import contexts

LIMIT_S = 20
LINGER_S = 1.0
"""For which the server reads on after an answer that its connection ends."""
MARGIN_S = 1.0
ROUNDS = 30
PART = b"x" * 1000
LONG = bytes(140_000)
"""More than a caller's socket takes at first, and little enough for both ends to hold:
the server closes while some of it is unsent."""
REQUESTS = {
    "a caller of 1.0": b"GET / HTTP/1.0\r\n\r\n",
    "until close": b"GET / HTTP/1.1\r\nhost: h\r\n\r\n",
}
callers = pytest.mark.parametrize("request_bytes", REQUESTS.values(), ids=REQUESTS)


def streamed(chunks, then=None):
    """Make a handler whose body gives chunks, and then fails or waits."""

    async def body():
        for chunk in chunks:
            yield chunk
        if then is not None:
            await then()

    async def handler(request):
        return Response(200, [], body(), until_close=True)

    return handler


async def whole(request):
    return Response(200, [], LONG, until_close=True)


async def cut():
    # The caller has the part by then; a reset may take away what is under way.
    await trio.sleep(0.1)
    raise BodyCut("server gone")


@asynccontextmanager
async def serving(handler, server_ssl=None, limits=None):
    """Serve on loopback; give the address, the server and the scope it runs in."""
    async with trio.open_nursery() as nursery:
        listeners = await TcpNetwork(server_ssl).listen(Address("127.0.0.1", 0))
        server = HttpServer(handler, limits or Limits())
        await nursery.start(server.run, listeners)
        yield listener_address(listeners[0]), server, nursery.cancel_scope
        nursery.cancel_scope.cancel()


async def read_to_end(stream):
    """Read an answer to the end of its connection; give its body."""
    received = bytearray()
    while data := await stream.receive_some():
        received += data
    return bytes(received.partition(b"\r\n\r\n")[2])


async def read_part(stream):
    """Read until all of PART has come."""
    received = bytearray()
    while not received.endswith(PART):
        received += await stream.receive_some()


def run(main):
    async def limited():
        with trio.fail_after(LIMIT_S):
            await main()

    trio.run(limited)


@callers
def test_a_cut_is_a_reset(request_bytes):
    """A body that fails midway would look whole to a caller that only sees the end."""

    async def main():
        async with serving(streamed([PART], cut)) as (address, *_):
            stream = await TcpNetwork().connect(address)
            await stream.send_all(request_bytes)
            await read_part(stream)
            with pytest.raises(trio.BrokenResourceError) as caught:
                await stream.receive_some()
            assert isinstance(caught.value.__cause__, ConnectionResetError)

    run(main)


@callers
def test_the_end_of_the_server_is_a_reset(request_bytes):
    """At the end of a planned stop, what is in flight is cancelled."""

    async def main():
        handler = streamed([PART], trio.sleep_forever)
        async with serving(handler) as (address, _, scope):
            stream = await TcpNetwork().connect(address)
            with trio.CancelScope(shield=True):
                await stream.send_all(request_bytes)
                await read_part(stream)
                scope.cancel()
                with pytest.raises(trio.BrokenResourceError) as caught:
                    await stream.receive_some()
                assert isinstance(caught.value.__cause__, ConnectionResetError)

    run(main)


@callers
@pytest.mark.parametrize("handler", [streamed([PART, LONG]), streamed([])])
def test_a_whole_stream_is_an_end(request_bytes, handler):
    """A reset in the place of the end would make whole answers look cut."""

    async def main():
        async with serving(handler) as (address, *_):
            stream = await TcpNetwork().connect(address)
            await stream.send_all(request_bytes)
            assert await read_to_end(stream) in (PART + LONG, b"")

    run(main)


@callers
def test_a_whole_body_is_an_end_for_a_late_reader(request_bytes):
    """The close must not take away what the kernel has not sent yet."""

    async def main():
        async with serving(whole) as (address, *_):
            stream = await TcpNetwork().connect(address)
            await stream.send_all(request_bytes)
            await trio.sleep(0.3)
            assert await read_to_end(stream) == LONG

    run(main)


@pytest.mark.parametrize("ahead_bytes", [100, 200_000])
def test_a_caller_that_sends_ahead_gets_a_whole_answer(ahead_bytes):
    """A close with unread input resets the connection, which drops what is unsent."""

    async def main():
        async with serving(whole) as (address, *_):
            stream = await TcpNetwork().connect(address)
            async with trio.open_nursery() as nursery:
                request = REQUESTS["until close"]
                ahead = request * (ahead_bytes // len(request))
                nursery.start_soon(stream.send_all, request + ahead)
                await trio.sleep(0.3)
                assert await read_to_end(stream) == LONG
                nursery.cancel_scope.cancel()

    run(main)


def test_a_whole_answer_over_tls_is_an_end_to_a_strict_caller(tmp_path):
    """TLS tells a cut by a missing close_notify; without one a whole answer is cut."""

    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with serving(whole, server_ssl) as (address, *_):
            transport = await TcpNetwork().connect(address)
            stream = trio.SSLStream(transport, client_ssl, server_hostname=address.host)
            await stream.send_all(REQUESTS["until close"])
            assert await read_to_end(stream) == LONG

    run(main)


def test_a_cut_over_tls_is_a_reset(tmp_path):
    """Callers that take any end of TLS for a regular one must see the cut too."""

    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with serving(streamed([PART], cut), server_ssl) as (address, *_):
            stream = await TcpNetwork(client_ssl=client_ssl).connect(address)
            await stream.send_all(REQUESTS["until close"])
            await read_part(stream)
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()

    run(main)


def test_the_end_of_an_answer_over_tls_is_not_a_caller_that_left(tmp_path):
    """The read that the server's own close ends was counted as the peer's end."""

    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with serving(whole, server_ssl) as (address, server, _):
            # Which of two tasks runs first decides, so that one round tells little.
            for _ in range(ROUNDS):
                stream = await TcpNetwork(client_ssl=client_ssl).connect(address)
                await stream.send_all(REQUESTS["until close"])
                assert await read_to_end(stream) == LONG
            await trio.sleep(0.1)
            assert server.counts["peer-gone"] == 0

    run(main)


def test_a_connection_is_not_kept_after_an_answer_that_it_ends():
    """A second request on it must get no answer, as nothing tells where that begins."""

    async def main():
        async with serving(whole) as (address, server, _):
            stream = await TcpNetwork().connect(address)
            await stream.send_all(REQUESTS["until close"] * 2)
            assert await read_to_end(stream) == LONG
            assert server.counts["requests"] == 1

    run(main)


def strict(transport, client_ssl, address):
    """Make a caller that takes an end without close_notify for a cut."""
    return trio.SSLStream(transport, client_ssl, server_hostname=address.host)


@pytest.mark.parametrize("ahead_bytes", [100, 60_000, 200_000])
def test_a_caller_that_sends_ahead_over_tls_gets_a_whole_answer(ahead_bytes, tmp_path):
    """Unread input keeps close_notify back, and a reset takes the end away."""

    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with serving(whole, server_ssl) as (address, *_):
            transport = await TcpNetwork().connect(address)
            stream = strict(transport, client_ssl, address)
            async with trio.open_nursery() as nursery:
                request = REQUESTS["until close"]
                ahead = request * (ahead_bytes // len(request))
                nursery.start_soon(stream.send_all, request + ahead)
                await trio.sleep(0.3)
                assert await read_to_end(stream) == LONG
                nursery.cancel_scope.cancel()

    run(main)


@pytest.mark.parametrize("is_tls", [False, True], ids=["tcp", "tls"])
def test_a_caller_that_keeps_its_end_open_is_not_kept(is_tls, tmp_path):
    """Reading on without a bound would hold connections as long as callers like."""

    async def main():
        server_ssl, client_ssl = contexts(tmp_path) if is_tls else (None, None)
        async with serving(whole, server_ssl) as (address, server, _):
            stream = await TcpNetwork(client_ssl=client_ssl).connect(address)
            await stream.send_all(REQUESTS["until close"])
            assert await read_to_end(stream) == LONG
            with trio.fail_after(LINGER_S + MARGIN_S):
                while server.open_connections:
                    await trio.sleep(0.01)

    run(main)


@pytest.mark.parametrize("size", [1000, 140_000, 1_000_000, 2_600_000, 6_000_000])
def test_a_late_strict_caller_gets_all_or_sees_a_cut(size, tmp_path):
    """The end of TLS has the slow reader's deadline, and must not stand for a part."""
    body = bytes(size)
    limits = Limits(slow_reader_s=0.3)

    async def answer(request):
        return Response(200, [], body, until_close=True)

    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with serving(answer, server_ssl, limits) as (address, server, _):
            transport = await TcpNetwork().connect(address)
            stream = strict(transport, client_ssl, address)
            await stream.send_all(REQUESTS["until close"])
            await trio.sleep(0.1)
            with trio.fail_after(limits.slow_reader_s + LINGER_S + MARGIN_S):
                while server.open_connections:
                    await trio.sleep(0.01)
            try:
                assert await read_to_end(stream) == body
            except trio.BrokenResourceError:
                assert server.counts["slow-reader"] == 1

    run(main)


def test_an_answer_to_head_does_not_end_with_its_connection():
    """Without a body nothing is left to tell; a close would lose the next request."""

    async def answer(request):
        return Response(200, [], b"", until_close=True)

    async def main():
        async with serving(answer) as (address, server, _):
            stream = await TcpNetwork().connect(address)
            head = REQUESTS["until close"].replace(b"GET", b"HEAD")
            for number in (1, 2):
                await stream.send_all(head)
                received = await stream.receive_some()
                assert received.startswith(b"HTTP/1.1 200")
                assert received.endswith(b"\r\n\r\n")
                assert b"content-length" not in received.lower()
                assert server.counts["requests"] == number

    run(main)
