"""The load: streams that break, and servers that fail whoever wants to go on."""

from collections import Counter
from random import Random

import pytest
import trio

from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.testing.routed import GATEWAY, NAMES, run_routed
from gooseberryyoke_daemon.wire import BodyCut, Response

EVENTS = 8
SERVERS, BREAKING = 10, 7
CALLERS = 60
MOST_ATTEMPTS = 2
STREAM = ("content-type", "text/event-stream")


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def server(rng, arrivals, break_share, fail_share):
    """Break off streams, and fail those that are to go on with one, by shares."""

    async def answer(request):
        arrivals[request.header(NAMES.attempt_id)] += 1
        after = int(request.header("last-event-id", 0))
        if after and rng.random() < fail_share:
            return Response(500, [], b"oops")
        last = EVENTS
        if after < EVENTS and rng.random() < break_share:
            last = rng.randint(after, EVENTS - 1)
        return Response(200, [STREAM], events(after, last))

    async def events(after, last):
        for number in range(after + 1, last + 1):
            await trio.sleep(0.03)
            yield event(number)
        if last < EVENTS:
            raise BodyCut("broken off")

    return answer


async def read_stream(session, number, streams):
    """Go on after the last whole event, as a caller does, once."""
    host, got, end = session.network.host(f"10.9.1.{number}"), b"", None
    for attempt in range(2):
        headers = [("last-event-id", str(got.count(b"id:")))] if got else []
        name = f"{number}-{attempt}"
        request = session.request("/draw/x", attempt=name, headers=headers)
        answer = await ask_raw(host, GATEWAY, request)
        end = answer.end
        if answer.status == 200:
            got += answer.body[: answer.body.rfind(b"\n\n") + 2]
            if end is AnswerEnd.WHOLE:
                break
    streams.append((got, end, answer.status))


def play(seed, break_share, fail_share):
    """Give the streams of all callers, and how often each attempt reached a server."""
    rng, arrivals, streams = Random(seed), Counter(), []

    async def main(session):
        for number in range(SERVERS):
            share = break_share if number < BREAKING else 0.0
            answer = server(rng, arrivals, share, fail_share)
            await session.add(f"i-{number}", answer)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(read_stream, session, number, streams)
                await trio.sleep(0.04)

    run_routed(main)
    return streams, arrivals


@pytest.mark.parametrize("fail_share", [0.5, 1.0])
@pytest.mark.parametrize("break_share", [0.15, 0.5, 1.0])
@pytest.mark.parametrize("seed", range(3))
def test_a_stream_whose_second_try_fails_is_whole_or_cut(seed, break_share, fail_share):
    """A second try that fails must end no stream, repeat no event and multiply none."""
    streams, arrivals = play(seed, break_share, fail_share)
    whole = b"".join(map(event, range(1, EVENTS + 1)))
    for got, end, status in streams:
        assert whole.startswith(got)
        assert (got == whole) or (end is not AnswerEnd.WHOLE) or status != 200
    assert max(arrivals.values()) <= MOST_ATTEMPTS
