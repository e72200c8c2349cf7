from contextlib import suppress

import trio

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke_daemon.testing.routed import GATEWAY, NAMES, run_routed
from gooseberryyoke_daemon.wire import ExchangeBroken, HttpClient, Limits, Response

SIGNATURE = (NAMES.signature, "sig")
EVENTS = ("content-type", "text/event-stream")
EVENT_BYTES = 16 * 1024
EVENTS_OUT = 40
STREAM_BYTES = EVENTS_OUT * EVENT_BYTES
CUTS_OFF = Limits(slow_reader_s=2.0)
"""Servers that cut off answers which stay unread."""


def event(number):
    begin = b"id: %d\ndata: " % number
    return begin + b"x" * (EVENT_BYTES - len(begin) - 2) + b"\n\n"


async def long_stream(request):
    async def events():
        start = int(request.header("last-event-id") or 0) + 1
        for number in range(start, EVENTS_OUT + 1):
            await trio.sleep(0.02)
            yield event(number)

    return Response(200, [SIGNATURE, EVENTS], events())


async def read_late(session, path, after_s, attempt="a1"):
    """Send a request, and read its answer after a while."""
    request = session.request(path, attempt=attempt)
    async with session.caller.open(GATEWAY, request) as reply:
        await trio.sleep(after_s)
        return await reply.read()


def test_a_stream_is_read_on_for_a_caller_that_has_stopped_reading():
    """
    A caller reads nothing for five seconds; its server cuts unread answers after two.

    The caller lost its stream, or had it made a second time by another server.
    """
    held = HeldBytes(read_ahead_limit=STREAM_BYTES)

    async def main(session):
        server = await session.add("s1", long_stream, limits=CUTS_OFF)
        body = await read_late(session, "/draw/x", 5.0)
        assert body == b"".join(map(event, range(1, EVENTS_OUT + 1)))
        assert len(server.requests) == 1
        await trio.sleep(1)
        assert held.total == 0

    run_routed(main, held=held)


def test_the_slot_of_a_server_is_free_once_its_stream_is_read():
    """A slow caller must not count as a request at a server that has finished."""
    held = HeldBytes(read_ahead_limit=STREAM_BYTES)

    async def main(session):
        await session.add("s1", long_stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_late, session, "/draw/x", 6.0)
            await trio.sleep(4.0)
            (server,) = session.servers.of_service("s")
            assert server.load.own == 0
            assert held.total > 0

    run_routed(main, held=held)


def test_callers_that_stop_reading_stay_within_the_memory_together():
    """
    Sixty callers stop reading in the middle of their streams.

    What is read ahead for all of them stays within the bound. Streams for which no
    memory is left are cut off by their servers, and their callers see that.
    """
    held = HeldBytes(limit=6 * STREAM_BYTES, read_ahead_limit=STREAM_BYTES)
    most, whole = [], []

    async def watch():
        while True:
            most.append(held.total)
            await trio.sleep(0.05)

    async def ask(session, number):
        try:
            body = await read_late(session, "/draw/x", 7.0, attempt=f"a{number}")
        except ExchangeBroken:
            return
        assert len(body) == STREAM_BYTES
        whole.append(number)

    async def main(session):
        for number in range(10):
            await session.add(f"s{number}", long_stream, limits=CUTS_OFF)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as callers:
                for number in range(60):
                    callers.start_soon(ask, session, number)
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert 0 < len(whole) < 60
        assert held.limit / 2 < max(most) <= held.limit
        await trio.sleep(1)
        assert held.total == 0

    run_routed(main, held=held)


def test_a_caller_that_leaves_ends_what_is_read_ahead_for_it():
    """A server must not go on with a stream whose slow caller has gone."""
    held = HeldBytes(read_ahead_limit=2 * EVENT_BYTES)

    async def main(session):
        await session.add("s1", long_stream)
        with trio.move_on_after(2.0):
            await read_late(session, "/draw/x", 100.0)
        await trio.sleep(0.5)
        (server,) = session.servers.of_service("s")
        assert (server.load.own, held.total) == (0, 0)

    run_routed(main, held=held)


def test_a_caller_that_leaves_before_the_head_frees_the_slot():
    """
    A caller leaves while the head of its answer is being sent, at any moment.

    No event had been asked for, the call was never ended, and the slot counted as
    taken for as long as the gateway ran.
    """

    async def main(session):
        await session.add("s1", long_stream)
        for tenths_ms in range(200, 280, 2):
            with trio.move_on_after(tenths_ms / 10_000):
                await read_late(session, "/draw/x", 1.0, attempt=f"a{tenths_ms}")
            await trio.sleep(1.0)
        (server,) = session.servers.of_service("s")
        assert server.load.own == 0

    run_routed(main, held=HeldBytes(read_ahead_limit=STREAM_BYTES))


def test_a_caller_that_reads_again_gets_its_stream_whatever_others_hold():
    """Memory is used up by other callers; one that has taken all was left waiting."""
    held = HeldBytes(limit=8 * EVENT_BYTES, read_ahead_limit=4 * EVENT_BYTES)

    async def main(session):
        await session.add("s1", long_stream)
        other = held.open()
        async with trio.open_nursery() as nursery:

            async def ask():
                body = await read_late(session, "/draw/x", 1.5)
                assert len(body) == STREAM_BYTES

            nursery.start_soon(ask)
            await trio.sleep(1.4)
            other.acquire(8 * EVENT_BYTES)

    run_routed(main, held=held)


def test_a_server_is_not_blamed_for_a_caller_that_does_not_read():
    """
    No memory is left, so that a server is not read and cuts its answer off.

    It counted as sick, and another server made the stream again for the same caller.
    """
    held = HeldBytes(read_ahead_limit=2 * EVENT_BYTES)

    async def main(session):
        servers = [
            await session.add(id, long_stream, limits=CUTS_OFF) for id in ("s1", "s2")
        ]
        with suppress(ExchangeBroken):
            body = await read_late(session, "/draw/x", 6.0)
            assert len(body) < STREAM_BYTES
        assert sum(len(server.requests) for server in servers) == 1
        assert [s.health.failures for s in session.servers.of_service("s")] == [0, 0]

    run_routed(main, held=held)


def test_a_server_that_ends_while_it_is_not_read_counts_for_its_request(monkeypatch):
    """Nobody looked: a request that ends servers came back for the next one."""

    async def is_refused(client, address):
        await trio.lowlevel.checkpoint()
        return True

    monkeypatch.setattr(HttpClient, "is_refused", is_refused)
    held = HeldBytes(read_ahead_limit=2 * EVENT_BYTES)

    async def main(session):
        await session.add("s1", long_stream, limits=CUTS_OFF)
        with suppress(ExchangeBroken):
            await read_late(session, "/draw/x", 6.0)
        requests = session.node.quarantine.requests
        counts = [requests.get(key).crash_count() for key in requests.most_crashed(9)]
        assert counts == [1]

    run_routed(main, held=held)
