from random import Random

import pytest
import trio
import trio.testing

from gooseberryyoke.outcome import Verdict
from gooseberryyoke_daemon.wire import (
    Address,
    ConnectFailed,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
    Signer,
    TcpNetwork,
    Verifier,
    json_response,
    listener_address,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)


async def echo(request):
    if request.path == "/stream":

        async def parts():
            for part in (b"one ", b"two ", b"three"):
                await trio.sleep(0.01)
                yield part

        return Response(200, [("content-type", "text/plain")], parts())
    return json_response(
        200, {"path": request.path, "query": request.query, "body": len(request.body)}
    )


async def served(nursery, network, handler=echo, limits=None):
    server = HttpServer(handler, limits)
    listeners = await network.listen(SERVER)
    await nursery.start(server.run, listeners)
    return server


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_whole_and_streamed_replies_share_one_kept_connection():
    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            server = await served(nursery, network)
            client = HttpClient(network)
            reply = await client.json("POST", SERVER, "/a%20b?x=1&y", {"k": 1})
            assert reply.status == 200
            assert reply.payload == {
                "path": "/a b",
                "query": {"x": "1", "y": ""},
                "body": 7,
            }
            async with client.open(SERVER, Request("GET", "/stream")) as reply:
                assert await reply.read() == b"one two three"
            assert server.counts["requests"] == 2
            assert server.counts["accepted"] == 1
            nursery.cancel_scope.cancel()

    run(main)


def test_exchange_over_tcp():
    async def main():
        network = TcpNetwork()
        async with trio.open_nursery() as nursery:
            listeners = await network.listen(Address("127.0.0.1", 0))
            address = listener_address(listeners[0])
            server = HttpServer(echo)
            await nursery.start(server.run, listeners)
            client = HttpClient(network)
            for _ in range(3):
                reply = await client.json("GET", address, "/x", timeout_s=5)
                assert reply.payload["path"] == "/x"
            assert server.counts["accepted"] == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_nothing_listening_is_not_run():
    async def main():
        with pytest.raises(ConnectFailed) as caught:
            await HttpClient(MemoryNetwork()).json("GET", SERVER, "/")
        assert caught.value.verdict is Verdict.NOT_RUN

    run(main)


def test_connect_over_a_cut_link_times_out_as_not_run():
    async def main():
        network = MemoryNetwork()
        network.cut("10.0.0.2", SERVER)
        async with trio.open_nursery() as nursery:
            await served(nursery, network)
            client = HttpClient(network.host("10.0.0.2"))
            with pytest.raises(ConnectFailed):
                await client.json("GET", SERVER, "/", timeout_s=3)
            network.heal("10.0.0.2", SERVER)
            assert (await client.json("GET", SERVER, "/")).status == 200
            nursery.cancel_scope.cancel()

    run(main)


def test_silent_connection_breaks_the_exchange_while_new_ones_work():
    """
    A kept connection goes silent: the request on it times out.

    The caller is told that it may have run, since bytes were written; a second
    request opens a new connection and is answered.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            await served(nursery, network)
            client = HttpClient(network)
            await client.json("GET", SERVER, "/")
            network.silence("outside", SERVER)
            with pytest.raises(ExchangeBroken) as caught:
                await client.json("GET", SERVER, "/", timeout_s=3)
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            assert (await client.json("GET", SERVER, "/", timeout_s=3)).status == 200
            nursery.cancel_scope.cancel()

    run(main)


@pytest.mark.parametrize("ending", ["cancel", "leave"])
def test_handler_is_cancelled_when_the_peer_goes_away(ending):
    async def main():
        cancelled = []

        async def slow(request):
            try:
                await trio.sleep(1000)
            except trio.Cancelled:
                cancelled.append(trio.current_time())
                raise

        async def endless(request):
            async def parts():
                try:
                    while True:
                        yield b"x"
                        await trio.sleep(1)
                except trio.Cancelled:
                    cancelled.append(trio.current_time())
                    raise

            return Response(200, body=parts())

        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            handler = slow if ending == "cancel" else endless
            server = await served(nursery, network, handler)
            client = HttpClient(network)
            if ending == "cancel":
                with pytest.raises(ExchangeBroken):
                    await client.json("POST", SERVER, "/", timeout_s=2)
            else:
                request = Request("GET", "/")
                async with client.open(SERVER, request, timeout_s=2) as reply:
                    async for _ in reply.chunks():
                        break
            await trio.sleep(0.1)
            assert len(cancelled) == 1
            assert (server.open_connections, server.exchanges) == (0, 0)
            assert server.counts["peer-gone"] == 1
            nursery.cancel_scope.cancel()

    run(main)


def test_body_that_fails_midway_is_not_taken_for_a_whole_one():
    async def main():
        async def half(request):
            async def parts():
                yield b"half"
                raise ValueError("engine lost")

            return Response(200, body=parts())

        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            server = await served(nursery, network, half)
            client = HttpClient(network)
            with pytest.raises(ExchangeBroken):
                async with client.open(SERVER, Request("GET", "/")) as reply:
                    await reply.read()
            assert server.counts["handler-failed"] == 1
            nursery.cancel_scope.cancel()

    run(main)


def test_failing_handler_is_a_500_that_may_have_run():
    async def main():
        async def failing(request):
            raise ValueError("bug")

        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            await served(nursery, network, failing)
            reply = await HttpClient(network).json("GET", SERVER, "/")
            assert (reply.status, reply.payload["verdict"]) == (500, "may-have-run")
            nursery.cancel_scope.cancel()

    run(main)


async def closed_after_keeping(nursery, network, client):
    """Keep one connection whose server closes it as the next request leaves."""
    listeners = await network.listen(SERVER)
    closed = trio.Event()

    async def serve_one(task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        stream = await listeners[0].accept()
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        await stream.receive_some()
        await stream.aclose()
        await listeners[0].aclose()
        await nursery.start(HttpServer(echo).run, await network.listen(SERVER))
        closed.set()

    await nursery.start(serve_one)
    await client.json("GET", SERVER, "/")
    return closed


def test_kept_connection_closed_under_a_request_may_have_run():
    """
    The server dies after it read a request on a kept connection.

    No byte of an answer came, but the request was written: it may have run, and
    is not sent again by the client on its own.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            client = HttpClient(network)
            await closed_after_keeping(nursery, network, client)
            with pytest.raises(ExchangeBroken):
                await client.json("POST", SERVER, "/", {})
            nursery.cancel_scope.cancel()

    run(main)


def test_repeatable_request_goes_out_again_on_a_new_connection():
    async def main():
        network = MemoryNetwork(latency_s=0.001)
        async with trio.open_nursery() as nursery:
            client = HttpClient(network)
            await closed_after_keeping(nursery, network, client)
            reply = await client.json("POST", SERVER, "/again", {}, repeatable=True)
            assert reply.payload["path"] == "/again"
            nursery.cancel_scope.cancel()

    run(main)


def test_a_request_that_ended_its_server_on_a_kept_connection_may_have_run():
    """Sent again, it met a closed port, and was said not to have run."""

    async def main():
        network = MemoryNetwork(latency_s=0.001)
        async with trio.open_nursery() as nursery:
            client = HttpClient(network)
            scope = trio.CancelScope()

            async def handle(request):
                if request.target == "/end":
                    scope.cancel()
                    await trio.sleep_forever()
                return await echo(request)

            async def serve(task_status):
                listeners = await network.listen(SERVER)
                with scope:
                    await HttpServer(handle).run(listeners, task_status=task_status)

            await nursery.start(serve)
            await client.json("GET", SERVER, "/")
            with pytest.raises(ExchangeBroken):
                await client.json("POST", SERVER, "/end", {}, repeatable=True)
            nursery.cancel_scope.cancel()

    run(main)


def test_draining_closes_after_the_exchange_and_accepts_until_told():
    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            server = HttpServer(echo)
            listeners = await network.listen(SERVER)
            done = trio.Event()

            async def run_server(task_status):
                await server.run(listeners, task_status=task_status)
                done.set()

            await nursery.start(run_server)
            client = HttpClient(network)
            await client.json("GET", SERVER, "/")
            server.drain()
            reply = await client.json("GET", SERVER, "/")
            assert reply.header("connection") == "close"
            assert (await client.json("GET", SERVER, "/")).status == 200
            assert server.counts["accepted"] == 2
            async with client.open(SERVER, Request("GET", "/stream")) as reply:
                server.stop_accepting()
                with pytest.raises(ConnectFailed):
                    await HttpClient(network).json("GET", SERVER, "/")
                assert not done.is_set()
                assert await reply.read() == b"one two three"
            with trio.fail_after(5):
                await done.wait()

    run(main)


def test_request_that_crosses_the_closing_of_its_connection_is_sent_again():
    """
    A planned stop closes an idle connection while a request travels on it.

    The server answers 408, not-run, before it closes. The client, which would
    otherwise have to say that the request may have run, sends it again on a new
    connection: here to the next process that listens at the address.
    """

    async def main():
        ran = []

        async def note(request):
            ran.append(request.path)
            return json_response(200, {})

        network = MemoryNetwork(latency_s=1.0)
        async with trio.open_nursery() as nursery:
            first = await served(nursery, network, note, Limits(grace_s=0.5))
            client = HttpClient(network)
            await client.json("POST", SERVER, "/first", {})
            first.stop_accepting()
            await trio.sleep(0.1)
            await served(nursery, network, note)
            reply = await client.json("POST", SERVER, "/second", {})
            assert reply.status == 200
            assert ran == ["/first", "/second"]
            assert first.counts["refused-idle-connection"] == 1
            nursery.cancel_scope.cancel()

    run(main)


def signed_pair(now, **kwargs):
    key = b"k" * 32
    return Signer("a", key, now, Random(1)), Verifier({"a": key}, now, **kwargs)


def test_signature_is_taken_once():
    signer, verifier = signed_pair(lambda: 100.0, hosts={"10.0.0.1:80"})
    request = signer.sign(Request("POST", "/x", [("Host", "10.0.0.1:80")], b"{}"))
    assert verifier.verify(request).unwrap() == "a"
    refusal = verifier.verify(request).failure()
    assert (refusal.status, refusal.reason) == (401, "replayed")
    assert refusal.verdict is Verdict.NOT_RUN
    assert verifier.counts == {"accepted": 1, "replayed": 1}


@pytest.mark.parametrize(
    "change, reason",
    [
        ({"body": b"{ }"}, "wrong-signature"),
        ({"target": "/y"}, "wrong-signature"),
        ({"method": "PUT"}, "wrong-signature"),
        ({"headers": ()}, "unsigned"),
    ],
)
def test_changed_message_is_refused(change, reason):
    signer, verifier = signed_pair(lambda: 100.0)
    request = signer.sign(Request("POST", "/x", (), b"{}")).replace(**change)
    assert verifier.verify(request).failure().reason == reason


@pytest.mark.parametrize(
    "value", ["", "a;b", "a;1.0;x", "a;nan;1;2", "a;1e9;1;2", "a;;1;2", "é;1;2;ÿ"]
)
def test_malformed_signature_is_refused(value):
    _, verifier = signed_pair(lambda: 100.0)
    request = Request("GET", "/", [("gooseberryyoke-signature", value)])
    assert verifier.verify(request).failure().status == 401


def test_signature_for_another_process_key_or_time_is_refused():
    clock = [100.0]
    signer, verifier = signed_pair(lambda: clock[0], hosts={"here:1"})
    elsewhere = signer.sign(Request("GET", "/", [("host", "there:1")]))
    assert verifier.verify(elsewhere).failure().reason == "wrong-host"
    other = Signer("b", b"x", lambda: clock[0], Random(2))
    unknown = other.sign(Request("GET", "/", [("host", "here:1")]))
    assert verifier.verify(unknown).failure().reason == "unknown-key"
    early = signer.sign(Request("GET", "/", [("host", "here:1")]))
    clock[0] += 31
    assert verifier.verify(early).failure().reason == "stale"


def test_restarted_process_refuses_what_was_signed_before():
    """
    A process restarts and forgets the nonces it has seen.

    A message recorded before the restart is still fresh by its time; taken again
    it would act twice. The verifier refuses what is older than itself.
    """
    clock = [100.0]
    signer, _ = signed_pair(lambda: clock[0])
    old = signer.sign(Request("POST", "/order"))
    clock[0] += 5
    restarted = Verifier({"a": b"k" * 32}, lambda: clock[0])
    assert restarted.verify(old).failure().reason == "before-start"


def test_remembered_nonces_are_bounded_and_expire():
    clock = [100.0]
    signer, verifier = signed_pair(lambda: clock[0], nonces=2)
    outcomes = [verifier.verify(signer.sign(Request("GET", "/"))) for _ in range(3)]
    assert outcomes[2].failure().reason == "too-many-nonces"
    clock[0] += 61
    assert verifier.verify(signer.sign(Request("GET", "/"))).unwrap() == "a"
    assert len(verifier._seen) == 1


@pytest.mark.parametrize("text", ["", "x", ":1", "h:", "h:x", "h:70000", "::1:5"])
def test_bad_address_is_refused(text):
    with pytest.raises(ValueError, match="expected"):
        Address.parse(text)
