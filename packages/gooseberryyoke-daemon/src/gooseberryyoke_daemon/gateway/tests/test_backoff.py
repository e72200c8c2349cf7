import pytest
import trio

from gooseberryyoke.membership.server_registry import RankPlace, ServerState
from gooseberryyoke_daemon.testing.routed import NAMES, run_routed, sample_table
from gooseberryyoke_daemon.wire import Address, Response

EVENTS = ("content-type", "text/event-stream")
LEAVING = (NAMES.leaving[0], "1")
NOT_RUN = (NAMES.not_run, "1")
RATE = 25
AFTER_S = 0.5
"""From the first refusal until what is sent must heed it."""
LONGEST_TURN_S = 2.5
"""From the end of a pause to the turn of any caller that was sent back."""


def asking(seconds, status=503, headers=(NOT_RUN,)):
    """Turn each request away, and ask for a pause."""

    async def answer(request):
        return Response(status, [*headers, ("retry-after", str(seconds))], b"")

    return answer


def asking_in_turn(*seconds):
    """Turn requests away; the first answer asks for the first pause, and so on."""
    left = list(seconds)

    async def answer(request):
        pause_s = left.pop(0) if len(left) > 1 else left[0]
        return Response(503, [NOT_RUN, ("retry-after", str(pause_s))], b"")

    return answer


def serving(*headers, for_s=0.01):
    async def answer(request):
        await trio.sleep(for_s)
        echo = (NAMES.attempt_id, request.header(NAMES.attempt_id))
        return Response(200, [echo, *headers], b"done")

    return answer


def streaming(*headers, count=3, cut_after=None):
    async def answer(request):
        async def events():
            for number in range(1, count + 1):
                if cut_after is not None and number > cut_after:
                    raise ConnectionError("the engine crashes")
                await trio.sleep(0.02)
                yield b"id: %d\ndata: x\n\n" % number

        return Response(200, [EVENTS, *headers], events())

    return answer


def statuses(replies):
    return {reply.status for reply in replies}


def member(rank, size=2):
    return RankPlace("g", 1, rank, size, True)


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/draw/x"])
@pytest.mark.parametrize("headers", [(NOT_RUN,), ()])
@pytest.mark.parametrize("status", [503, 429])
def test_servers_that_ask_for_a_pause_get_nothing_in_it(status, headers, path):
    # Guards against requests that go on to servers which have all asked for a pause.
    async def main(session):
        servers = [
            await session.add(f"s{number}", asking(3, status, headers))
            for number in (1, 2)
        ]
        await session.ask_often(path, RATE, AFTER_S)
        await session.ask_often(path, RATE, 2.4, "b")
        assert [server.check.faults() for server in servers] == [[], []]
        assert all(server.check.asked for server in servers)

    run_routed(main)


@pytest.mark.parametrize("place", [None, "group"])
@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
def test_callers_are_served_beside_a_server_that_asked_for_a_pause(path, place):
    # Guards against refusals while another server is idle, and against a group of
    # servers that is left alone because one of them asked for a pause.
    async def main(session):
        places = [place and member(rank) for rank in (0, 1)]
        asker = await session.add("s1", asking(3), place=places[0])
        await session.add("s2", serving(), place=places[1])
        await session.ask_often(path, RATE, AFTER_S)
        replies = await session.ask_often(path, RATE, 2.4, "b")
        assert asker.check.asked
        assert [reply.status for reply in replies] == [200] * 60
        assert asker.check.faults() == []

    run_routed(main)


def test_streams_are_served_beside_a_member_of_their_group_that_asked_for_a_pause():
    # Guards against a whole group that is tried one request at a time because one of
    # its members asked for a pause.
    async def main(session):
        asker = await session.add("s1", asking(3), place=member(0))
        await session.add("s2", streaming(), place=member(1))
        await session.ask_often("/draw/x", RATE, AFTER_S)
        replies = await session.ask_often("/draw/x", RATE, 2.4, "b")
        assert asker.check.asked
        assert [reply.status for reply in replies] == [200] * 60
        assert session.servers.limit_parts() == {"g": 1.0}

    run_routed(main)


def test_a_later_shorter_pause_does_not_end_a_longer_one():
    # Guards against answers that cross: the last word would let requests through while
    # an earlier one still holds.
    async def main(session):
        server = await session.add("s1", asking_in_turn(4, 1))
        await session.ask_often("/read/x", 100, 0.1)
        await session.ask_often("/read/x", RATE, 3.8, "b")
        assert server.check.faults() == []

    run_routed(main)


def test_a_whole_answer_does_not_end_a_pause():
    # Guards against an answer that was under way when the server asked for a pause.
    async def main(session):
        server = await session.add("s1", serving(for_s=1.0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.ask, "/read/x")
            await trio.sleep(0.1)
            server.answer = asking(3)
            await session.ask("/read/x", attempt="a2")
            await trio.sleep(1.0)
        await session.ask_often("/read/x", RATE, 1.5, "b")
        assert server.check.faults() == []

    run_routed(main)


def test_with_all_servers_in_a_pause_callers_are_told_at_once_when_it_ends():
    # Guards against callers that wait in vain, and against a return too early.
    async def main(session):
        server = await session.add("s1", asking(3))
        await session.ask("/read/x")
        asked_s = trio.current_time()
        await trio.sleep(0.6)
        reply = await session.ask("/read/x", attempt="a2")
        assert trio.current_time() - asked_s < 0.7
        assert reply.status == 503
        assert reply.header("gooseberryyoke-verdict") == "not-run"
        server.answer = serving()
        await trio.sleep(float(reply.header("retry-after")))
        assert 3.0 <= trio.current_time() - asked_s <= 3.0 + LONGEST_TURN_S
        assert (await session.ask("/read/x", attempt="a3")).status == 200

    run_routed(main)


def test_a_request_waits_for_a_pause_that_ends_in_time():
    # Guards against a refusal while the only server takes work again soon.
    async def main(session):
        server = await session.add("s1", asking(0.6))
        await session.ask("/draw/x")
        server.answer = streaming()
        reply = await session.ask("/draw/x", attempt="a2")
        assert reply.status == 200
        assert server.check.faults() == []

    run_routed(main)


def test_after_a_pause_one_request_tries_the_server():
    # Guards against all that wait going at once to a server that still needs a pause.
    async def main(session):
        server = await session.add("s1", asking(1))
        await session.ask_often("/read/x", 100, 0.1)
        before = len(server.check.arrivals)
        await session.ask_often("/read/x", RATE, 5.0, "b")
        assert 2 <= len(server.check.arrivals) - before <= 5
        server.answer = serving()
        await trio.sleep(1.2)
        assert statuses(await session.ask_often("/read/x", RATE, 1.0, "c")) == {200}

    run_routed(main)


def test_a_broken_stream_is_not_resumed_at_a_server_in_a_pause():
    # Guards against second attempts at servers that asked for a pause meanwhile.
    async def main(session):
        await session.add("s1", streaming(count=9, cut_after=4))
        asker = await session.add("s2", asking(3))
        await session.ask_often("/draw/x", RATE, AFTER_S, may_cut=True)
        await session.ask_often("/draw/x", RATE, 2.4, "b", may_cut=True)
        assert asker.check.asked
        assert asker.check.faults() == []

    run_routed(main)


@pytest.mark.parametrize("count", [1, 2])
def test_a_server_that_says_it_leaves_gets_nothing_new(count):
    # Guards against requests to a server that leaves, as the last one of its service
    # too.
    async def main(session):
        leaver = await session.add("s1", serving(LEAVING))
        if count == 2:
            await session.add("s2", serving())
        await session.ask_often("/read/x", RATE, 2.2)
        replies = await session.ask_often("/read/x", RATE, 2.0, "b")
        assert leaver.check.asked
        assert leaver.check.faults() == []
        assert statuses(replies) == ({200} if count == 2 else {503})

    run_routed(main)


def test_a_stream_that_runs_at_a_leaving_server_runs_on():
    # Guards against answers that are cut because their server says it leaves.
    async def main(session):
        await session.add("s1", streaming(LEAVING, count=30))
        reply = await session.ask("/draw/x")
        assert reply.status == 200
        assert reply.body.count(b"id:") == 30

    run_routed(main)


def test_a_late_announcement_does_not_bring_a_leaving_server_back():
    # Guards against a heartbeat that arrives after the answer which says the server
    # leaves; a later life under the same id is another server.
    async def main(session):
        leaver = await session.add("s1", serving(LEAVING))
        await session.add("s2", serving())
        await session.ask_often("/read/x", RATE, 0.5)
        address = Address("10.1.0.1", 80)
        session.announce("s1", address, sequence=7)
        await trio.sleep(2.1)
        await session.ask_often("/read/x", RATE, 1.0, "b")
        assert leaver.check.faults() == []
        before = len(leaver.requests)
        leaver.answer = serving()
        session.announce("s1", address, born_ms=2)
        await session.ask_often("/read/x", RATE, 1.0, "c")
        assert len(leaver.requests) > before

    run_routed(main)


def test_a_server_that_was_announced_as_draining_stays_so():
    # Guards against an answer and an announcement that count differently: the earlier
    # word of either kind holds for the rest of the life.
    async def main(session):
        leaver = await session.add("s1", serving())
        address = Address("10.1.0.1", 80)
        session.announce("s1", address, sequence=2, state=ServerState.DRAINING)
        session.announce("s1", address, sequence=3)
        assert (await session.ask("/read/x", deadline_ms=100)).status == 503
        assert leaver.requests == []

    run_routed(main)


@pytest.mark.parametrize("announced_after_s", [0.05, 0.3])
def test_a_pause_asked_for_around_a_restart_is_kept(announced_after_s):
    # Guards against the word of a server's next life being taken for that of the life
    # before, and forgotten with it: it answers before or just after it is announced.
    async def main(session):
        async def slow(request):
            await trio.sleep(0.1)
            return await asking(3)(request)

        server = await session.add("s1", slow)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.ask, "/read/x")
            await trio.sleep(announced_after_s)
            session.announce("s1", Address("10.1.0.1", 80), born_ms=2)
        await trio.sleep(0.6)
        await session.ask_often("/read/x", RATE, 2.0, "b")
        assert server.check.asked
        assert server.check.faults() == []

    run_routed(main)


def test_a_new_address_does_not_end_a_pause():
    # Guards against what a server asked for being forgotten with its announcement.
    async def main(session):
        server = await session.add("s1", asking(3))
        await session.ask("/read/x")
        address = Address("10.1.0.9", 80)
        await session.serve(server, address)
        session.announce("s1", address, sequence=2)
        await trio.sleep(0.6)
        await session.ask_often("/read/x", RATE, 2.0, "b")
        assert server.check.faults() == []

    run_routed(main)


@pytest.mark.parametrize("value", ["", "x", "-3", "nan", "inf", "0", "1e400"])
def test_a_malformed_pause_holds_nothing_back(value):
    # Guards against a server left alone for good by a word that nobody can read.
    async def main(session):
        server = await session.add("s1", asking(value))
        await session.ask("/read/x")
        server.answer = serving()
        await trio.sleep(0.6)
        assert (await session.ask("/read/x", attempt="a2")).status == 200

    run_routed(main, sample_table(max_attempts=1))


@pytest.mark.parametrize("path", ["/read/x", "/draw/x"])
def test_words_of_another_server_at_the_address_say_nothing_of_this_one(path):
    # Guards against a server left alone for what its address's former holder said.
    async def main(session):
        server = await session.add("s1", asking(9, 421, (NOT_RUN, LEAVING)))
        await session.ask(path)
        server.answer = serving()
        await trio.sleep(1.0)
        assert (await session.ask("/read/x", attempt="a2")).status == 200

    run_routed(main)


def test_pauses_are_counted_and_shown():
    # Guards against servers that ask for pauses without anybody on call seeing it.
    async def main(session):
        session.node.observer.load()
        server = await session.add("s1", asking(1))
        await session.add("s2", serving())
        for number in range(3):
            await session.ask("/read/x", attempt=f"a{number}")
        text = session.node.render_metrics().decode()
        assert 'gooseberryyoke_server_backoffs_total{service="s"} 1' in text
        assert 'gooseberryyoke_servers_in_backoff{service="s"} 1' in text
        await trio.sleep(1.1)
        server.answer = serving()
        await session.ask_often("/read/x", RATE, 0.5, "b")
        text = session.node.render_metrics().decode()
        assert 'gooseberryyoke_servers_in_backoff{service="s"} 0' in text

    run_routed(main)


def broken_until(end_s):
    """Turn requests away, ask for pauses as well later on, then serve streams."""
    serve = streaming()
    start_s = trio.current_time()

    async def answer(request):
        since_s = trio.current_time() - start_s
        if since_s >= end_s:
            return await serve(request)
        pause = [("retry-after", "1")] if since_s >= end_s / 2 else []
        return Response(503, [NOT_RUN, *pause], b"")

    return answer


@pytest.mark.parametrize("size", [3, 4, 8])
def test_callers_are_served_once_a_group_that_asked_for_pauses_is_whole_again(size):
    # Guards against a gateway that refuses every request for good: each engine awaits
    # the first answer after its pause, and more slots are withheld than they leave.
    async def main(session):
        for rank in range(size):
            place = member(rank, size)
            await session.add(f"s{rank}", broken_until(2.0), place=place)
        await session.ask_often("/draw/x", RATE, 2.0)
        await trio.sleep(3.0)
        replies = await session.ask_often("/draw/x", RATE, 2.0, "b")
        assert statuses(replies) == {200}

    run_routed(main)


@pytest.mark.parametrize("told", ["9" * 401, "9" * 12, "-5", "1.5", "x"])
@pytest.mark.parametrize("place", [None, "group"])
def test_an_odd_count_of_requests_costs_no_other_request(told, place):
    # Guards against a number of one server that no float holds, by which each choice
    # among the servers fails, and the process ends with all that it serves.
    async def main(session):
        odd = (NAMES.load, f"{told},{told},0")
        places = [place and member(rank) for rank in (0, 1)]
        await session.add("s1", serving(odd), place=places[0])
        await session.add("s2", serving(), place=places[1])
        replies = await session.ask_often("/read/x", RATE, 2.0)
        assert statuses(replies) == {200}

    run_routed(main)
