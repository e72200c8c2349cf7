import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.wire import (
    Address,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
    TcpNetwork,
    json_response,
    listener_address,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)


async def answer(request):
    return json_response(200, {"bytes": len(request.body)})


def serve(main, handler=answer, limits=None, client_limits=None):
    """Run `main(server, client, network)` against a server in memory."""

    async def within():
        network = MemoryNetwork()
        server = HttpServer(handler, limits)
        client = HttpClient(network, client_limits)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, await network.listen(SERVER))
            await main(server, client, network)
            nursery.cancel_scope.cancel()

    trio.run(within, clock=trio.testing.MockClock(autojump_threshold=0))


def test_connection_reset_while_kept_is_not_used_again():
    """
    The server's host restarts while a connection to it is kept.

    The reset has arrived before the next request, which may not be repeated. It
    goes out on a new connection, rather than end as perhaps run.
    """

    async def main(server, client, network):
        await client.json("POST", SERVER, "/", {})
        network.reset("outside", SERVER)
        assert (await client.json("POST", SERVER, "/", {})).status == 200
        assert server.counts["accepted"] == 2

    serve(main)


def test_connection_is_kept_for_a_limited_time():
    async def main(server, client, network):
        for pause_s, accepted in ((4, 1), (4, 1), (6, 1), (0, 2)):
            await client.json("POST", SERVER, "/", {})
            assert server.counts["accepted"] == accepted
            await trio.sleep(pause_s)

    serve(main, client_limits=Limits(pool_idle_s=5))


def test_kept_connections_are_bounded():
    async def main(server, client, network):
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(client.json, "POST", SERVER, "/", {})
        await trio.sleep(0.1)
        assert (server.counts["accepted"], server.open_connections) == (6, 2)
        await client.aclose()
        await trio.sleep(0.1)
        assert server.open_connections == 0

    serve(main, client_limits=Limits(pool_connections=2))


def test_reply_beyond_the_limit_is_not_kept_in_memory():
    async def main(server, client, network):
        with pytest.raises(ExchangeBroken, match="longer than 100 bytes"):
            await client.json("GET", SERVER, "/")

    async def long(request):
        return Response(200, body=b"1" * 101)

    serve(main, long, client_limits=Limits(body_bytes=100))


def test_refusal_before_the_end_of_a_long_body_reaches_the_client():
    """
    The server refuses a body by its length and closes, while the client writes.

    Writing fails, yet the answer is there to be read: the caller gets 413 with
    not-run rather than an exchange that may have run.
    """

    async def main(server, client, network):
        request = Request("POST", "/", body=b"x" * 1_000_000)
        async with client.open(SERVER, request) as reply:
            assert reply.status == 413
            assert reply.header("gooseberryyoke-verdict") == "not-run"

    serve(main, limits=Limits(body_bytes=100))


def test_refusal_over_tcp_is_not_lost_to_a_reset():
    """
    A TCP socket closed with unread input resets the connection.

    The peer's kernel then drops the answer that it had received. The server reads
    the rest of the refused body for a while before it closes.
    """

    async def main():
        network = TcpNetwork()
        async with trio.open_nursery() as nursery:
            listeners = await network.listen(Address("127.0.0.1", 0))
            server = HttpServer(answer, Limits(body_bytes=100))
            await nursery.start(server.run, listeners)
            address = listener_address(listeners[0])
            for _ in range(20):
                client = HttpClient(network)
                request = Request("POST", "/", body=b"x" * 200_000)
                async with client.open(address, request, timeout_s=10) as reply:
                    assert reply.status == 413
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_body_is_closed_when_the_peer_goes_away():
    class Parts:
        closed = False

        def __aiter__(self):
            return self

        async def __anext__(self):
            await trio.sleep(1)
            return b"x"

        async def aclose(self):
            await trio.sleep(0.1)
            self.closed = True

    parts = Parts()

    async def endless(request):
        return Response(200, body=parts)

    async def main(server, client, network):
        async with client.open(SERVER, Request("GET", "/")):
            pass
        await trio.sleep(1)
        assert parts.closed

    serve(main, endless)


def test_wait_that_begins_after_accepting_ended_has_the_grace_only():
    async def main():
        server = HttpServer(answer, Limits(idle_s=75, grace_s=2))
        server.stop_accepting()
        assert server.idle_deadline_s() == trio.current_time() + 2

    trio.run(main, clock=trio.testing.MockClock())
