import pytest
import trio

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke.membership.server_registry import RankPlace, ServerState
from gooseberryyoke.routing import ClientAccount, urgency
from gooseberryyoke_daemon.gateway.call import CallFailed, server_priority
from gooseberryyoke_daemon.gateway.exchange import Exchange
from gooseberryyoke_daemon.gateway.node import GatewayStop
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.testing.routed import (
    GATEWAY,
    NAMES,
    run_routed,
    sample_table,
)
from gooseberryyoke_daemon.wire import Address, ExchangeBroken, Response

SIGNATURE = (NAMES.signature, "sig")
EVENTS = ("content-type", "text/event-stream")


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def whole(body=b"done", status=200, **headers):
    async def answer(request):
        fields = [SIGNATURE, *[(k.replace("_", "-"), v) for k, v in headers.items()]]
        echo = (NAMES.attempt_id, request.header(NAMES.attempt_id))
        return Response(status, [*fields, echo], body)

    return answer


def stream(first, last, pause_s=0.02, cut_after=None, part=b""):
    """Give events; after ``cut_after`` send a part of the next one and reset."""

    async def answer(request):
        async def events():
            start = int(request.header("last-event-id") or first - 1) + 1
            for number in range(start, last + 1):
                if cut_after is not None and number > cut_after:
                    if part:
                        yield part
                    raise ConnectionError("the engine crashes")
                await trio.sleep(pause_s)
                yield event(number)

        return Response(200, [SIGNATURE, EVENTS], events())

    return answer


def refusing(status=503):
    async def answer(request):
        return Response(status, [(NAMES.not_run, "1")], b"")

    return answer


def raw(data, then_wait_s=0.0):
    async def handler(stream):
        async with stream:
            if not await receive_request(stream):
                return
            await stream.send_all(data)
            await trio.sleep(then_wait_s)

    return handler


def test_an_answer_passes_unchanged_and_the_server_gets_what_it_needs():
    async def main(session):
        server = await session.add("i-1", whole(b"lanes", content_encoding="x"))
        reply = await session.ask(
            "/read/a%2Fb?q=1",
            headers=[(NAMES.account, "forged"), ("x-own", "7"), ("te", "trailers")],
        )
        assert (reply.status, reply.body) == (200, b"lanes")
        assert reply.header(NAMES.signature) == "sig"
        assert reply.header("content-encoding") == "x"
        sent = server.requests[0]
        assert (sent.method, sent.target, sent.body) == (
            "POST",
            "/read/a%2Fb?q=1",
            b"body",
        )
        assert sent.header("host") == "h.example"
        assert sent.header(NAMES.account) == "deck"
        assert sent.header(NAMES.expected_server) == "i-1"
        assert sent.header("x-own") == "7"
        assert sent.header("authorization") is None
        assert sent.header("te") is None
        assert 1000 <= int(sent.header(NAMES.deadline_ms)) <= 1200

    run_routed(main)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/read/x", "wrong", 401),
        ("/read/x", None, 401),
        ("/none/x", "deck-key", 404),
        ("/read", "deck-key", 404),
    ],
)
def test_what_the_table_does_not_allow_reaches_no_server(path, key, status):
    async def main(session):
        server = await session.add("i-1", whole())
        reply = await session.ask(path, key=key)
        assert reply.status == status
        assert reply.header("gooseberryyoke-verdict") == "not-run"
        assert server.requests == []

    run_routed(main)


def test_before_the_first_table_callers_are_told_to_come_back():
    # A gateway that has just started can't tell whether a route exists: with 404
    # the caller would give up on a request that any other gateway serves.
    async def main(session):
        session.watcher.table = None
        start_s = trio.current_time()
        reply = await session.ask("/read/x")
        assert trio.current_time() - start_s < 2.0
        assert reply.status == 503
        assert float(reply.header("retry-after")) > 0
        assert not session.node.is_open

    run_routed(main)


def test_a_public_route_needs_no_key_and_names_no_account():
    async def main(session):
        server = await session.add("i-1", whole())
        assert (await session.ask("/read/x", key=None)).status == 200
        assert server.requests[0].header(NAMES.account) is None

    run_routed(main, sample_table(is_public=True))


def test_a_request_that_no_server_has_run_is_sent_to_another_one():
    async def main(session):
        first = await session.add("i-1", refusing())
        second = await session.add("i-2", whole())
        first_load, second_load = (s.load for s in session.servers.of_service("s"))
        first_load.own, second_load.own = 0, 3
        reply = await session.ask("/read/x")
        assert reply.status == 200
        assert len(first.requests) == len(second.requests) == 1

    run_routed(main)


def test_a_request_whose_server_may_have_run_it_is_not_run_again():
    # The server takes a booking and its connection breaks. A second run would book
    # twice, and "not run" would make the caller do so.
    async def main(session):
        broken = raw(b"", 0.01)
        await session.add("i-1", None, handler=broken)
        other = await session.add("i-2", whole())
        session.servers.of_service("s")[1].load.own = 5
        reply = await session.ask("/book/x")
        assert reply.status == 502
        assert reply.header("gooseberryyoke-verdict") == "may-have-run"
        assert other.requests == []

    run_routed(main)


def test_an_idempotent_request_is_asked_once_more_after_an_error():
    async def main(session):
        first = await session.add("i-1", whole(b"oops", 500))
        second = await session.add("i-2", whole(b"fine"))
        session.servers.of_service("s")[1].load.own = 5
        assert (await session.ask("/read/x")).body == b"fine"
        assert len(first.requests) == len(second.requests) == 1

    run_routed(main)


def test_the_last_server_s_error_is_passed_on_as_it_is():
    async def main(session):
        await session.add("i-1", whole(b"oops", 500))
        reply = await session.ask("/book/x")
        assert (reply.status, reply.body) == (500, b"oops")
        assert reply.header(NAMES.signature) == "sig"

    run_routed(main)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\ngooseberryyoke-attempt: other\r\n"
        b"content-length: 2\r\n\r\nok",
        b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
    ],
)
def test_a_spoilt_answer_never_reaches_the_caller_as_whole(data):
    async def main(session):
        await session.add("i-1", None, handler=raw(data))
        reply = await session.ask("/book/x")
        assert reply.status == 502
        assert reply.header("gooseberryyoke-verdict") == "may-have-run"

    run_routed(main)


def test_bytes_after_a_whole_answer_belong_to_nobody():
    async def main(session):
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        await session.add("i-1", None, handler=raw(answer + answer))
        assert (await session.ask("/read/x")).body == b"ok"
        assert (await session.ask("/read/x")).body == b"ok"

    run_routed(main)


def test_an_answer_without_length_ends_with_its_connection():
    async def main(session):
        await session.add("i-1", None, handler=raw(b"HTTP/1.1 200 OK\r\n\r\nall"))
        reply = await session.ask("/read/x")
        assert (reply.status, reply.body) == (200, b"all")

    run_routed(main)


def test_a_stream_goes_on_at_another_server_where_it_broke():
    # The engine crashes within its fourth event. The caller sees one answer with the
    # first engine's headers, each event once and whole.
    async def main(session):
        first = await session.add(
            "i-1", stream(1, 9, cut_after=3, part=b"id: 4\ndata: x")
        )
        second = await session.add("i-2", stream(1, 9))
        session.servers.of_service("s")[1].load.own = 5
        reply = await session.ask("/draw/x")
        assert reply.body == b"".join(map(event, range(1, 10)))
        assert len(first.requests) == len(second.requests) == 1
        assert second.requests[0].header("last-event-id") == "3"

    run_routed(main)


def test_a_stream_that_may_not_be_resumed_never_looks_complete():
    async def main(session):
        await session.add("i-1", stream(1, 9, cut_after=3))
        other = await session.add("i-2", stream(1, 9))
        session.servers.of_service("s")[1].load.own = 5
        with pytest.raises(ExchangeBroken):
            await session.ask("/draw/x")
        assert other.requests == []

    run_routed(main, sample_table(is_resumable=False))


def test_a_silent_stream_is_resumed_before_its_caller_leaves():
    async def main(session):
        await session.add("i-1", stream(1, 3, pause_s=60.0))
        await session.add("i-2", stream(1, 3))
        session.servers.of_service("s")[1].load.own = 5
        start_s = trio.current_time()
        reply = await session.ask("/draw/x")
        assert reply.body == b"".join(map(event, range(1, 4)))
        assert trio.current_time() - start_s < 2.0

    run_routed(main)


def test_events_pass_as_they_come():
    async def main(session):
        await session.add("i-1", stream(1, 5, pause_s=0.1))
        request = session.request("/draw/x")
        async with session.caller.open(GATEWAY, request) as reply:
            chunks = reply.chunks()
            start_s = trio.current_time()
            assert await anext(chunks) == event(1)
            assert trio.current_time() - start_s < 0.11
            assert await anext(chunks) == event(2)
            assert trio.current_time() - start_s < 0.22
            await chunks.aclose()

    run_routed(main)


def test_a_caller_that_leaves_ends_its_server_s_work_at_once():
    async def main(session):
        ended = trio.Event()

        async def answer(request):
            try:
                await trio.sleep(60.0)
            finally:
                ended.set()

        await session.add("i-1", answer)
        with trio.move_on_after(0.2):
            await session.ask("/draw/x")
        with trio.fail_after(0.1):
            await ended.wait()
        assert session.servers.of_service("s")[0].load.own == 0

    run_routed(main)


def test_the_final_answer_comes_at_the_route_s_timeout():
    async def main(session):
        async def never(request):
            await trio.sleep_forever()

        await session.add("i-1", never)
        start_s = trio.current_time()
        reply = await session.ask("/book/x")
        assert reply.status == 504
        assert reply.header("gooseberryyoke-verdict") == "may-have-run"
        assert trio.current_time() - start_s == pytest.approx(1.2, abs=0.05)

    run_routed(main)


def test_a_server_that_is_gone_costs_no_attempt():
    # Three servers have ended, and their going is not known yet: nothing listens.
    # The connection is refused, so that nothing ran, and the next one is asked.
    async def main(session):
        for number in range(3):
            session.announce(f"i-gone-{number}", Address(f"10.2.0.{number}", 80))
        server = await session.add("i-1", whole())
        session.servers.choose("s", set())
        for known in session.servers.of_service("s"):
            known.load.own = 5 if known.entry.id == "i-1" else 0
        assert (await session.ask("/book/x")).status == 200
        assert len(server.requests) == 1

    run_routed(main)


def test_a_draining_server_gets_nothing_new():
    async def main(session):
        leaving = await session.add("i-1", whole())
        staying = await session.add("i-2", whole())
        address = session.servers.of_service("s")[0].address
        session.announce("i-1", address, 2, state=ServerState.DRAINING)
        for _ in range(5):
            assert (await session.ask("/book/x")).status == 200
        assert (len(leaving.requests), len(staying.requests)) == (0, 5)

    run_routed(main)


def test_without_a_server_the_answer_comes_at_once_and_promises_not_run():
    async def main(session):
        await trio.sleep(60.0)
        start_s = trio.current_time()
        reply = await session.ask("/book/x")
        assert (reply.status, trio.current_time() - start_s < 0.1) == (503, True)
        assert reply.header("gooseberryyoke-verdict") == "not-run"
        assert reply.header("retry-after") is not None

    run_routed(main)


def test_a_planned_stop_finishes_what_was_begun():
    async def main(session):
        await session.add("i-1", stream(1, 40, pause_s=0.1))
        bodies = []

        async def ask(at_s):
            await trio.sleep(at_s)
            reply = await session.ask("/draw/x", attempt=f"a{at_s}")
            bodies.append(reply.body)

        async with trio.open_nursery() as nursery:
            for at_s in (0.0, 0.5, 1.5, 2.0):
                nursery.start_soon(ask, at_s)
            await trio.sleep(1.0)
            await session.node.stop(GatewayStop(4.0, 7.4))
        assert bodies == [b"".join(map(event, range(1, 41)))] * 4
        assert not session.node.is_open

    run_routed(main)


@pytest.mark.parametrize("at_s", [3.5, 4.65])
def test_a_stream_that_comes_late_in_a_planned_stop_is_sent_elsewhere(at_s):
    # A caller has kept the address of a gateway that is stopping. It asks for a stream
    # so late that the process ends before the stream does. The caller used to get half
    # of it; now it is told at once that nothing has run, and has the whole stream from
    # another gateway.
    async def main(session):
        server = await session.add("i-1", stream(1, 40, pause_s=0.1))
        replies = []

        async def ask():
            await trio.sleep(at_s)
            replies.append(await session.ask("/draw/x", attempt="a1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await session.node.stop(GatewayStop(5.0, 7.4, 3.0))
        assert replies[0].status == 503
        assert server.requests == []

    run_routed(main)


LONG_TABLE = sample_table(timeout_s=9.0, max_attempts=1)


def slow(for_s):
    async def answer(request):
        await trio.sleep(for_s)
        echo = (NAMES.attempt_id, request.header(NAMES.attempt_id))
        return Response(200, [echo], b"done")

    return answer


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
@pytest.mark.parametrize(("work_s", "at_s"), [(5.0, 2.6), (5.0, 2.45), (7.0, 0.5)])
def test_what_takes_longer_than_is_left_of_a_planned_stop_is_not_begun(
    work_s, at_s, path
):
    # Guards against requests that are taken, passed on and cut without an answer by the
    # end of the process, though requests of their kind were known to take so long.
    async def main(session):
        server = await session.add("i-1", slow(work_s))
        for number in range(3):
            reply = await session.ask(path, attempt=f"a{number}", deadline_ms=9000)
            assert reply.status == 200
        replies = []

        async def ask():
            await trio.sleep(at_s)
            replies.append(await session.ask(path, attempt="late", deadline_ms=9000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await session.node.stop(GatewayStop(4.0, 7.4, 3.0))
        assert replies[0].status == 503
        assert len(server.requests) == 3

    run_routed(main, LONG_TABLE)


@pytest.mark.parametrize(("usual_s", "status"), [(None, 200), (5.0, 503)])
def test_what_waits_for_a_place_into_a_planned_stop_is_begun_if_time_is_left(
    usual_s, status
):
    # Guards against a request that came in time, got its place late, and was cut.
    async def main(session):
        async def answer(request):
            await trio.sleep(0.8 if request.header(NAMES.attempt_id) == "slow" else 0.1)
            return await whole()(request)

        server = await session.add("i-1", answer, slots=1)
        for number in range(40):
            await session.ask("/book/x", attempt=f"a{number}")
        times, now = session.node.observer.answer_times, trio.current_time()
        for _ in range(64 if usual_s else 0):
            times.observe("book", usual_s, now)
        statuses = {}

        async def ask(attempt):
            reply = await session.ask("/book/x", attempt=attempt, deadline_ms=9000)
            statuses[attempt] = reply.status

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "slow")
            await trio.sleep(0.2)
            nursery.start_soon(ask, "waits")
            await trio.sleep(0.1)
            await session.node.stop(GatewayStop(1.5, 2.9, 0.3))
        assert statuses == {"slow": 200, "waits": status}
        assert len(server.requests) == 41 + (status == 200)

    run_routed(main, LONG_TABLE)


def test_what_is_due_before_the_end_of_a_planned_stop_is_still_served():
    async def main(session):
        await session.add("i-1", whole(b"done"))
        bodies = []

        async def ask():
            await trio.sleep(3.5)
            reply = await session.ask("/book/x", attempt="a1", deadline_ms=1200)
            bodies.append(reply.body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await session.node.stop(GatewayStop(5.0, 7.4, 3.0))
        assert bodies == [b"done"]

    run_routed(main)


def test_a_body_that_is_waited_for_past_the_deadline_is_a_failed_attempt():
    # A server gives up at the deadline that it was told, so that the head of its
    # answer comes in the moment in which the gateway's own time ends. The wait for
    # the body was then of negative length, and the caller got 500.
    async def main(session):
        async def handler(stream):
            async with stream:
                if not await receive_request(stream):
                    return
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n")
                await trio.sleep(5.0)

        await session.add("i-1", None, handler=handler)
        exchange = Exchange(session.request("/book/x"), "a1", trio.current_time())
        exchange.deadline_s = trio.current_time() + 1.0
        server = session.servers.choose("s", set())
        call = await session.calls.open(exchange, server, exchange.deadline_s)
        with pytest.raises(CallFailed, match="answer-stalled"):
            await call.read(trio.current_time() - 0.001, HeldBytes().open())
        await call.close()

    run_routed(main)


def test_an_idempotent_request_is_asked_again_when_its_first_time_is_over():
    async def main(session):
        async def half(stream):
            async with stream:
                if not await receive_request(stream):
                    return
                await trio.sleep(0.59)
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n")
                await trio.sleep(5.0)

        await session.add("i-1", None, handler=half)
        await session.add("i-2", whole(b"ok"))
        session.servers.of_service("s")[1].load.own = 5
        assert (await session.ask("/read/x")).status == 200
        assert session.node.counts["handler-failed"] == 0

    run_routed(main)


def test_a_gateway_that_starts_lets_its_first_callers_wait_for_the_table():
    # After a loss of power all processes start together. Callers come back with
    # their only retry while the replicas still read their disks: told to come back
    # once more, they have no try left.
    async def main(session):
        table, session.watcher.table = session.watcher.table, None
        await session.add("i-1", whole(b"lanes"))

        async def read_later():
            await trio.sleep(1.0)
            session.watcher.table = table

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_later)
            assert (await session.ask("/read/x")).body == b"lanes"

    run_routed(main)


def test_a_gateway_that_starts_lets_its_first_callers_wait_for_servers():
    async def main(session):
        async def announce_later():
            await trio.sleep(0.5)
            await session.add("i-1", whole(b"lanes"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(announce_later)
            assert (await session.ask("/read/x")).body == b"lanes"

    run_routed(main)


def test_a_request_whose_time_is_over_before_it_is_sent_has_not_run():
    # A gateway that has just started holds a request for its table until the caller's
    # time ends. Sent then, the server would be told to stop at once.
    async def main(session):
        table, session.watcher.table = session.watcher.table, None
        server = await session.add("i-1", whole())

        async def read_late():
            await trio.sleep(0.3)
            session.watcher.table = table

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_late)
            await trio.sleep(0.299)
            reply = await session.ask("/book/x", deadline_ms=0)
        assert reply.status == 503
        assert reply.header("gooseberryyoke-verdict") == "not-run"
        assert server.requests == []
        assert session.node.counts["handler-failed"] == 0

    run_routed(main)


def test_metrics_hold_what_was_observed_before_they_were_loaded():
    async def main(session):
        await session.add("i-1", whole(b"lanes"))
        await session.ask("/read/x")
        await session.ask("/none/x")
        assert session.node.render_metrics() is None
        session.node.observer.load()
        await session.ask("/read/x")
        text = session.node.render_metrics().decode()
        labels = 'account="deck",class="read"'
        assert f"gooseberryyoke_answer_seconds_count{{{labels}}} 2" in text
        assert 'reason="no-route"' in text
        assert 'gooseberryyoke_servers{service="s"} 1' in text

    run_routed(main)


def place(group, rank, is_open=True):
    return RankPlace(group, 1, rank, 2, is_open)


def test_a_group_that_refuses_though_it_has_room_is_left_out_as_a_whole():
    # A rank has crashed, and every engine of its group turns requests away at once.
    # Having no work they look best; a request that is sent to two of them is lost.
    async def main(session):
        broken = [
            await session.add(f"i-{n}", refusing(), place=place("g", n)) for n in (0, 1)
        ]
        sound = await session.add("i-2", whole(), place=place("h", 0))
        session.servers.of_service("s")[2].load.own = 3
        for number in range(6):
            reply = await session.ask("/read/x", attempt=f"a{number}")
            assert reply.status == 200
        assert len(sound.requests) == 6
        assert sum(len(server.requests) for server in broken) == 1

    run_routed(main)


def test_a_group_that_says_it_is_broken_gets_nothing():
    async def main(session):
        closed = await session.add("i-0", whole(), place=place("g", 0, is_open=False))
        sound = await session.add("i-1", whole(), place=place("h", 0))
        session.servers.of_service("s")[-1].load.own = 3
        assert (await session.ask("/read/x")).status == 200
        assert (len(closed.requests), len(sound.requests)) == (0, 1)

    run_routed(main)


def test_a_server_that_is_full_does_not_shut_its_group_out():
    async def main(session):
        await session.add("i-0", refusing(), place=place("g", 0))
        sound = await session.add("i-1", whole(), place=place("g", 1))
        first, second = session.servers.of_service("s")
        first.load.own, second.load.own = 5, 5
        first.health.was_full(trio.current_time())
        session.servers.note_refusal(first)
        assert (await session.ask("/read/x")).status == 200
        assert len(sound.requests) == 1

    run_routed(main)


def test_a_resumed_stream_gives_way_to_requests_that_can_be_on_time():
    async def main(session):
        first = await session.add("i-1", stream(1, 5, cut_after=2))
        second = await session.add("i-2", stream(1, 5))
        session.servers.of_service("s")[1].load.own = 5
        await session.ask("/draw/x")
        fresh, resumed = (
            int(server.requests[0].header(NAMES.priority)) for server in (first, second)
        )
        assert fresh < resumed

    run_routed(main)


def test_servers_hear_which_route_is_more_urgent_among_accounts_of_one_priority():
    # Guards against urgent streams behind reports in a server's own queue.
    def level(priority, is_late=False):
        exchange = Exchange(None, "", 0.0)
        route = sample_table(priority=priority).match("h.example", "/draw/x")
        exchange.urgency = urgency(route, ClientAccount("a", ["k"], 1))
        exchange.is_late = is_late
        return server_priority(exchange, None)

    on_time = [level(priority) for priority in (0, 1, 2)]
    late = [level(priority, is_late=True) for priority in (0, 2)]
    assert on_time == sorted(set(on_time))
    assert max(on_time) < min(late)
    assert late == sorted(set(late))


def test_a_server_that_has_nothing_new_to_say_is_not_forgotten():
    # Gateways are told of changes alone. A server that runs for ten minutes without
    # one was dropped as silent at the next change of another.
    async def main(session):
        server = await session.add("i-1", whole())
        await trio.sleep(600.0)
        session.announce("i-other", Address("10.3.0.1", 80), service="other")
        assert (await session.ask("/read/x")).status == 200
        assert len(server.requests) == 1

    run_routed(main)


def test_requests_wait_while_their_group_forms_anew():
    # All engines have started again, and refuse until their group has formed. Four
    # callers come meanwhile, each with one return at most. Sent to one engine after
    # the other they are refused twice and told to come back; held in line, all get
    # their answers, and the engines refuse a few tries.
    async def main(session):
        opens_s = trio.current_time() + 0.5
        answer, refuse = stream(1, 3), refusing()

        async def forming(request):
            if trio.current_time() < opens_s:
                return await refuse(request)
            return await answer(request)

        servers = [
            await session.add(
                f"i-{rank}", forming, place=RankPlace("g", 2, rank, 2, False)
            )
            for rank in range(2)
        ]
        replies = []

        async def ask(number):
            replies.append(await session.ask("/draw/x", attempt=f"a{number}"))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(ask, number)
        assert [reply.status for reply in replies] == [200] * 4
        refused = sum(len(server.requests) for server in servers) - 4
        assert 1 <= refused <= 4

    run_routed(main)


def test_requests_wait_while_their_group_stands_still():
    # A group's step is held for a second: the stream that it has gets no event. A
    # request that comes meanwhile would hang at an engine until its caller leaves; it
    # waits in line, and is sent on once the group goes on.
    async def main(session):
        held = trio.Event()

        async def answer(request):
            async def events():
                yield event(1)
                if request.header(NAMES.attempt_id) == "first":
                    await held.wait()
                yield event(2)

            return Response(200, [SIGNATURE, EVENTS], events())

        place = RankPlace("g", 1, 0, 1, True)
        server = await session.add("i-1", answer, place=place)
        replies = []

        async def ask(attempt):
            replies.append(await session.ask("/draw/x", attempt=attempt))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "first")
            await trio.sleep(0.7)
            nursery.start_soon(ask, "second")
            await trio.sleep(0.3)
            assert len(server.requests) == 1
            held.set()
        assert [reply.status for reply in replies] == [200, 200]

    run_routed(main)


def test_nobody_is_refused_for_long_pauses_while_a_third_of_the_places_is_free():
    # Demand for experts changes, and for seconds all streams of a group pause for
    # longer than callers bear. Refused meanwhile, a second's arrivals come back after
    # seconds, when they are late for certain.
    statuses = []

    async def paced(request):
        async def events():
            for number in range(20):
                yield b"id: %d\ndata: x\n\n" % number
                await trio.sleep(0.13)

        return Response(200, [("content-type", "text/event-stream")], events())

    async def main(session):
        await session.add("i-0", paced, slots=12, place=RankPlace("g", 1, 0, 1, True))

        async def ask(number):
            reply = await session.ask("/draw/x", attempt=f"a{number}")
            statuses.append(reply.status)

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(ask, number)
                await trio.sleep(0.33)

    run_routed(main, sample_table(target_s=0.4, target_gap_s=0.12))
    assert statuses == [200] * 30
