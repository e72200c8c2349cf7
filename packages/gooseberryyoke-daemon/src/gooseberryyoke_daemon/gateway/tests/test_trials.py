from functools import partial

import pytest
import trio

from gooseberryyoke_daemon.gateway.quarantine import HELD_S
from gooseberryyoke_daemon.testing.routed import NAMES, run_routed
from gooseberryyoke_daemon.wire import Response

EVENTS = ("content-type", "text/event-stream")
PROMPT = ((NAMES.prompt_parts, "part:40,own:100"),)
TRIAL_FROM_S = 1.6
"""After an end under a part, when each gateway's own time for a trial has come."""


async def long_stream(request):
    async def events():
        for number in range(1, 40):
            await trio.sleep(0.05)
            yield b"id: %d\ndata: x\n\n" % number

    return Response(200, [EVENTS], events())


async def error(request):
    return Response(500, [], b"oops")


@pytest.mark.parametrize("answer", [long_stream, error])
def test_a_trial_that_is_over_holds_nobody_up(answer):
    """A trial that its caller leaves, or that shows nothing, must not go on for 3 s."""

    async def main(session):
        server = await session.add("i-1", answer)
        quarantine = session.node.quarantine
        quarantine.suspects.record_crash("i-0/1", ["part"], trio.current_time())
        await trio.sleep(TRIAL_FROM_S)
        with trio.move_on_after(0.2):
            await session.ask("/draw/x", headers=PROMPT)
        await trio.sleep(0.1)
        assert len(server.requests) >= 1
        tried = len(server.requests)
        with trio.move_on_after(0.2):
            await session.ask("/draw/x", attempt="a2", headers=PROMPT)
        assert len(server.requests) > tried

    run_routed(main)


def test_a_trial_waits_while_the_only_server_with_room_has_another_one():
    """It was sent there, and held to account for the end that the other one caused."""
    sent = []

    async def slow(request):
        sent.append((trio.current_time(), request.header(NAMES.prompt_parts)))
        return await long_stream(request)

    async def busy(request):
        return Response(503, [(NAMES.not_run, "1"), ("retry-after", "9")], b"")

    async def main(session):
        await session.add("i-2", busy)
        await session.ask("/read/x", attempt="a0")
        await session.add("i-1", slow)
        suspects, now = session.node.quarantine.suspects, trio.current_time()
        for part in ("p1", "p2"):
            suspects.record_crash("i-0/1", [part], now)
        await trio.sleep(TRIAL_FROM_S)
        async with trio.open_nursery() as nursery:
            for part in ("p1", "p2"):
                prompt = ((NAMES.prompt_parts, f"{part}:40,own:100"),)
                ask = partial(session.ask, attempt=part, headers=prompt)
                nursery.start_soon(ask, "/draw/x")

    run_routed(main)
    (first_s, _), (second_s, _) = sent
    assert second_s - first_s >= HELD_S
