"""The load: sound requests, and one that crashes each engine that it reaches."""

from functools import partial
from random import Random

import pytest
import trio

from gooseberryyoke_daemon.testing.crash_engine import HARMFUL_BODY
from gooseberryyoke_daemon.testing.crash_fleet import run_fleet
from gooseberryyoke_daemon.wire.memory import MemoryEndpoint

RATE = 25.0
KNOWN_S = 2.0
MOST_ENDS = 3
"""Under one request; it reaches no further engine after them."""
PROMPT = ("first", "second1")
STREAM, PLAIN, ONE_ATTEMPT = "/draw/x", "/read/x", "/book/x"
LATE_EVENTS, LONG_STREAM = 27, 60
"""An end after 0.8 s of events, in a stream of 1.8 s."""
EARLY_EVENTS = 7
LOST_FOR_S = 0.15
"""Datagrams, from the first request on; the first engine ends after 0.1 s."""


def sound(rng):
    return ["first", f"second{rng.randrange(3)}"]


def run(main, gateways=1, seed=1):
    """Give what a test on a fleet returns."""
    found = []

    async def note(fleet):
        found.append(await main(fleet))

    run_fleet(note, gateways, engines=10, seed=seed)
    return found[0]


def with_load(harm, events=10, harmful_after=0):
    """Make the main task of a fleet that gets a harmful request among sound ones."""

    async def main(fleet):
        fleet.events = events
        await fleet.ask_often(RATE, KNOWN_S, sound)
        fleet.harmful_after = harmful_after
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask_often, RATE, KNOWN_S, sound)
            await harm(fleet)
        return len(fleet.harmful_arrivals), len(fleet.harmful_ends)

    return main


@pytest.mark.parametrize("gateways", [1, 4])
@pytest.mark.parametrize("pause_s", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("parts", [PROMPT, None], ids=["parts", "none"])
@pytest.mark.parametrize("path", [STREAM, PLAIN])
def test_a_callers_tries_end_three_engines_at_most(path, parts, pause_s, gateways):
    """Each try of a caller ended two engines more, under an attempt id of its own."""

    async def harm(fleet):
        tries = {"path": path, "own": "own", "body": HARMFUL_BODY}
        await fleet.ask_again(6, pause_s, parts, **tries)

    assert max(run(with_load(harm), gateways)) <= MOST_ENDS


@pytest.mark.parametrize("gateways", [1, 4])
@pytest.mark.parametrize("after", [EARLY_EVENTS, LATE_EVENTS])
@pytest.mark.parametrize("parts", [PROMPT, None], ids=["parts", "none"])
def test_a_stream_that_is_resumed_ends_three_engines_at_most(parts, after, gateways):
    """An end late in a stream counted for nothing; each resumption ended one more."""

    async def harm(fleet):
        await fleet.ask_again(4, 0.3, parts, own="own", body=HARMFUL_BODY)

    assert max(run(with_load(harm, LONG_STREAM, after), gateways)) <= MOST_ENDS


def test_a_stream_that_its_caller_resumes_is_the_same_request():
    """The caller asks for what is missing, under another attempt id."""

    async def harm(fleet):
        for after in (None, "3", "6", "9"):
            stream = {"own": "own", "body": HARMFUL_BODY, "last_event_id": after}
            await fleet.ask_one(PROMPT, **stream)
            await trio.sleep(0.3)

    assert max(run(with_load(harm, LONG_STREAM, LATE_EVENTS), 4)) <= MOST_ENDS


def test_a_request_that_is_refused_is_told_that_it_has_not_run():
    async def main(fleet):
        tries = await fleet.ask_again(4, 0.3, PROMPT, own="own", body=HARMFUL_BODY)
        return tries[-1]

    answer = run(main, gateways=2)
    assert (answer.status, answer.verdict, answer.attempts) == (503, "not-run", 0)
    assert float(answer.retry_after) > 1.0
    assert answer.took_s < 0.1


@pytest.mark.parametrize("seed", range(4))
def test_all_gateways_count_though_a_third_of_the_datagrams_is_lost(monkeypatch, seed):
    """A gateway that misses an end sends the request to one engine more."""
    rng, deliver = Random(seed), MemoryEndpoint.deliver

    def lose_some(endpoint, data):
        if rng.random() > 1 / 3:
            deliver(endpoint, data)

    monkeypatch.setattr(MemoryEndpoint, "deliver", lose_some)

    async def harm(fleet):
        await fleet.ask_again(6, 2.0, PROMPT, own="own", body=HARMFUL_BODY)

    assert max(run(with_load(harm), 4, seed)) <= MOST_ENDS


def test_a_gateway_that_starts_hears_of_refused_requests():
    """It knows nothing, and the caller comes to it next."""

    async def main(fleet):
        request = {"own": "own", "body": HARMFUL_BODY}
        fleet.kill_gateway("g1")
        await fleet.ask_again(3, 0.3, PROMPT, gateway="g0", **request)
        await trio.sleep(2.0)
        await fleet.start_gateway("g1")
        await trio.sleep(1.0)
        await fleet.ask_again(3, 0.3, PROMPT, gateway="g1", **request)
        return len(fleet.harmful_arrivals)

    assert run(main, gateways=3) <= MOST_ENDS


@pytest.mark.parametrize("parts", [PROMPT, None], ids=["parts", "none"])
def test_a_gateway_that_is_not_told_of_others_yet_counts_with_them(parts):
    """It refuses the news of gateways that it does not know in its first second."""

    async def main(fleet):
        request = {"own": "own", "body": HARMFUL_BODY}
        fleet.kill_gateway("g1")
        await fleet.start_gateway("g1", alone_for_s=1.0)
        for gateway in ("g0", "g1"):
            await fleet.ask_again(3, 0.05, parts, gateway=gateway, **request)
        return len(fleet.harmful_ends)

    assert run(main, gateways=2) <= MOST_ENDS


def test_a_gateway_that_others_do_not_name_for_a_while_counts_with_them():
    """It is cut off from what names it; the others refuse its news, and it theirs."""

    async def main(fleet):
        request = {"own": "own", "body": HARMFUL_BODY}
        await trio.sleep(5.0)
        fleet.leave_out("g1", for_s=5.0)
        await trio.sleep(1.0)
        for gateway in ("g1", "g0"):
            await fleet.ask_again(3, 0.05, None, gateway=gateway, **request)
        return len(fleet.harmful_ends)

    assert run(main, gateways=2) <= MOST_ENDS


def test_a_try_that_outruns_the_news_of_the_one_before_counts_by_itself(monkeypatch):
    """Its engine's end is taken for that of the first one, as they lie so close."""
    deliver, begin_s = MemoryEndpoint.deliver, []

    def lose_first(endpoint, data):
        if not begin_s or trio.current_time() > begin_s[0] + LOST_FOR_S:
            deliver(endpoint, data)

    monkeypatch.setattr(MemoryEndpoint, "deliver", lose_first)

    async def main(fleet):
        begin_s.append(trio.current_time())
        request = {"own": "own", "body": HARMFUL_BODY, "path": ONE_ATTEMPT}
        for gateway in ("g0", "g1", "g0", "g1"):
            await fleet.ask_one(None, gateway=gateway, **request)
        return len(fleet.harmful_ends)

    assert run(main, gateways=2) <= MOST_ENDS


def test_copies_sent_at_once_after_an_end_end_three_engines():
    """A caller with many tries sends them at once; each was at an engine of its own."""

    async def main(fleet):
        request = {"own": "own", "body": HARMFUL_BODY, "path": PLAIN}
        await fleet.ask_one(PROMPT, **request)
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(partial(fleet.ask, PROMPT, [], **request))
        return len(fleet.harmful_ends)

    assert run(main) <= MOST_ENDS


@pytest.mark.parametrize("gateways", [1, 4])
def test_equal_requests_are_served_while_engines_crash(gateways):
    """Sound requests that are equal lose many engines, and are one to the gateways."""

    async def crash_some(fleet):
        for _ in range(8):
            await trio.sleep(1.5)
            fleet.crash_any()

    async def main(fleet):
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_some, fleet)
            for number in range(400):
                path = STREAM if number % 2 else PLAIN
                nursery.start_soon(partial(fleet.ask, None, answers, path=path))
                await trio.sleep(1 / RATE)
        return [answer.status for answer in answers]

    assert run(main, gateways) == [200] * 400


@pytest.mark.parametrize("path", [STREAM, PLAIN])
def test_equal_requests_are_served_after_all_engines_failed_at_once(path):
    """Each engine's end would count; the request was refused for a day."""

    async def main(fleet):
        lost, answers = [], []
        for _ in range(4):
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(partial(fleet.ask, None, lost, path=path))
                await trio.sleep(0.05)
                for engine in fleet.running():
                    fleet.crash(engine)
            await trio.sleep(4.0)
            await fleet.ask(None, answers, path=path)
        return [answer.status for answer in answers]

    assert run(main, gateways=4) == [200] * 4


@pytest.mark.parametrize("seed", range(6))
def test_engines_that_crash_for_other_reasons_have_no_request_refused(seed):
    """A sound request must not lose its tries to engines that end all the time."""

    async def crash_some(fleet):
        for _ in range(24):
            await trio.sleep(0.5)
            fleet.crash_any()

    async def main(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_some, fleet)
            answers = await fleet.ask_often(2 * RATE, 12.0, sound)
        return [answer.reason for answer in answers]

    assert not {"request-suspected", "request-quarantined"} & set(run(main, 4, seed))


@pytest.mark.parametrize("seed", range(3))
def test_a_rack_that_fails_again_and_again_has_no_request_refused(seed):
    """Callers come back under new attempt ids while half of the engines ends thrice."""

    async def fail_rack(fleet):
        for _ in range(3):
            for engine in fleet.running()[:5]:
                fleet.crash(engine)
            await trio.sleep(4.0)

    async def main(fleet):
        statuses = []

        async def caller(number):
            tries = await fleet.ask_again(4, 0.5, sound(fleet.rng), own=f"own{number}")
            statuses.append(tries[-1].status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_rack, fleet)
            for number in range(200):
                nursery.start_soon(caller, number)
                await trio.sleep(1 / RATE)
        return statuses

    assert run(main, 4, seed) == [200] * 200
