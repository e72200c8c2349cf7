"""Findings of the review of ORDER on answers that their connection ends."""

import pytest
import trio

from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.wire import (
    Address,
    BodyCut,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
    TcpNetwork,
    listener_address,
)
from gooseberryyoke_daemon.wire.network import set_reset_on_close
from gooseberryyoke_daemon.wire.tests.test_wire_tls import contexts

BODY = bytes(range(256)) * 12 * 1024
REQUEST = Request("GET", "/", [("host", "h")])
SENT = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = Limits(slow_reader_s=1.0)


async def whole(request):
    return Response(200, body=BODY, until_close=True)


async def pieces(request):
    async def parts():
        for start in range(0, len(BODY), 100_000):
            yield BODY[start : start + 100_000]

    return Response(200, body=parts(), until_close=True)


async def cut(request):
    async def parts():
        yield b"some"
        await trio.sleep(0.05)
        raise BodyCut("x")

    return Response(200, body=parts(), until_close=True)


def serve(main, handler, folder, is_tls, contexts_of=None):
    async def run():
        found = contexts(folder) if is_tls else ()
        if contexts_of is not None:
            contexts_of.extend(found)
        network = TcpNetwork(*found)
        listeners = await network.listen(Address("127.0.0.1", 0))
        address = listener_address(listeners[0])
        server = HttpServer(handler, LIMITS)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, listeners)
            with trio.fail_after(20):
                await main(server, network, address)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def read_all(stream):
    data = bytearray()
    while part := await stream.receive_some(65536):
        data += part
        await trio.sleep(0.001)
    return bytes(data).partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("is_tls", [False, True], ids=["tcp", "tls"])
@pytest.mark.parametrize("handler", [whole, pieces])
def test_a_slow_caller_gets_all_of_an_answer_that_its_connection_ends(
    handler, is_tls, tmp_path
):
    """The socket resets on close until the body is whole, and then no more."""

    async def main(server, network, address):
        stream = await network.connect(address)
        await stream.send_all(SENT)
        await trio.sleep(0.3)
        assert await read_all(stream) == BODY

    serve(main, handler, tmp_path, is_tls)


@pytest.mark.parametrize("is_tls", [False, True], ids=["tcp", "tls"])
def test_a_cut_answer_that_its_connection_ends_is_seen_as_cut(is_tls, tmp_path):
    async def main(server, network, address):
        answer = await ask_raw(network, address, REQUEST)
        assert (answer.body, answer.end) == (b"some", AnswerEnd.CUT)

    serve(main, cut, tmp_path, is_tls)


def test_a_whole_answer_that_its_connection_ends_is_not_counted_as_peer_gone(tmp_path):
    async def main(server, network, address):
        answer = await ask_raw(network, address, REQUEST)
        assert (answer.body, answer.end) == (BODY, AnswerEnd.CLOSED)
        while server.open_connections:
            await trio.sleep(0.01)
        assert server.counts["peer-gone"] == 0

    serve(main, whole, tmp_path, False)


def test_a_whole_answer_over_tls_ends_with_a_notice_of_the_close(tmp_path):
    """Without the notice, a strict caller takes the end for a cut."""

    async def main(server, network, address):
        stream = await trio.open_ssl_over_tcp_stream(
            address.host, address.port, ssl_context=contexts_of[1]
        )
        await stream.send_all(SENT)
        assert await read_all(stream) == BODY

    contexts_of = []
    serve(main, whole, tmp_path, True, contexts_of)


def test_an_early_refusal_of_known_length_arrives_after_a_reset():
    """The write of the request meets the reset, the answer is there and whole."""

    async def refuse_and_reset(stream):
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 413 X\r\ncontent-length: 4\r\n\r\nlong")
        await trio.sleep(0.2)
        set_reset_on_close(stream, True)
        await stream.aclose()

    async def main():
        network = TcpNetwork()
        listeners = await network.listen(Address("127.0.0.1", 0))
        address = listener_address(listeners[0])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, refuse_and_reset, listeners)
            request = Request("POST", "/", [], bytes(16 * 1024 * 1024))
            async with HttpClient(network).open(address, request) as reply:
                assert (reply.status, await reply.read()) == (413, b"long")
            nursery.cancel_scope.cancel()

    trio.run(main)
