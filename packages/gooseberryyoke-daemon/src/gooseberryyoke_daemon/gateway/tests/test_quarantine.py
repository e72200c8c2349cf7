"""The load: requests in all states while a part of their prompts is suspected."""

from random import Random
from types import SimpleNamespace

import orjson
import pytest
import trio

from gooseberryyoke.outcome import Verdict
from gooseberryyoke_daemon.gateway.call import CallFailed
from gooseberryyoke_daemon.testing.crash_engine import HARMFUL
from gooseberryyoke_daemon.testing.crash_fleet import run_fleet
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.memory import MemoryEndpoint

PART = "a"
REQUEST = "request:0123456789abcdef01234567"
CLOSED = 5
"""Ends after which a part is sent no more."""
BEGUN_S = 0.05
"""After which a request is at an engine that has given no event yet."""
ANSWER_S = 0.4
"""Of an engine, when nothing else is at it."""
TRIAL_S = 3.0
TRIAL_FROM_S = 1.6
"""After an end, when each gateway's own time for a trial has come."""


def hold(fleet, ends, part=PART, gateway="g0"):
    """Have a gateway know of servers that ended under a part, a second apart."""
    quarantine, now = fleet.nodes[gateway].quarantine, trio.current_time()
    for number in range(ends):
        quarantine.suspects.record_crash(f"life{number}", [part], now - number)
    quarantine.news.tell([part])


def count(fleet, part=PART, gateway="g0"):
    suspicion = fleet.nodes[gateway].quarantine.suspects.get(part)
    return 0 if suspicion is None else len(suspicion.crashes_s)


def run(main, gateways=1, engines=4):
    """Give what a test on a fleet returns."""
    found = []

    async def note(fleet):
        found.append(await main(fleet))

    run_fleet(note, gateways, engines)
    return found[0]


async def during(fleet, trouble, parts=(PART,)):
    """Give the answer to a request with which something happens at its engine."""
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.ask, list(parts), answers)
        await trio.sleep(BEGUN_S)
        trouble()
    return answers[0]


def is_not_run(answer):
    """Tell whether a refusal says truthfully that its request may be sent again."""
    may_come_back = answer.retry_after is not None
    says_so = (answer.status, answer.verdict) == (503, "not-run")
    return says_so and may_come_back and not answer.attempts


def test_a_trial_whose_caller_leaves_is_over():
    """Nobody ended it: the requests that waited for it were refused after 3 s."""

    async def main(fleet):
        hold(fleet, 1)
        await trio.sleep(TRIAL_FROM_S)
        with trio.move_on_after(BEGUN_S):
            await fleet.ask_one([PART])
        return await fleet.ask_one([PART])

    answer = run(main)
    assert (answer.status, answer.took_s < 1.0) == (200, True)


def test_a_plain_answer_proves_the_parts_of_its_prompt():
    """Only streams did: a part of plain requests was tried each 3 s, for ever."""

    async def main(fleet):
        hold(fleet, 1)
        await trio.sleep(TRIAL_FROM_S)
        return [await fleet.ask_one([PART], path="/read/x") for _ in range(3)]

    assert [(a.status, a.took_s < 0.5) for a in run(main)] == [(200, True)] * 3


def test_a_request_that_waits_is_refused_when_its_part_is_closed():
    """It was sent when the trial was over, to the next server."""

    async def main(fleet):
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, [HARMFUL], answers)
            while len(fleet.harmful_arrivals) < 2:
                # Its trial has just begun once it arrives a second time.
                await trio.sleep(0.005)
            nursery.start_soon(fleet.ask, [HARMFUL, PART], answers)
        return sorted(answers, key=lambda a: a.sent_s), len(fleet.crashes)

    (tried, waited), crashes = run(main)
    assert crashes == 2
    assert (tried.status, tried.verdict, tried.attempts) == (502, "may-have-run", 2)
    assert is_not_run(waited)
    # Three seconds, the gateway's own time, and what several suspected parts add.
    assert 3 <= float(waited.retry_after) <= 5


def test_a_request_in_line_for_a_place_is_refused_when_its_part_is_closed():
    """It has passed the first check, and is sent minutes later under load."""

    async def main(fleet):
        others, answers = [], []
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(fleet.ask, ["b"], others)
            await trio.sleep(BEGUN_S)
            nursery.start_soon(fleet.ask, [HARMFUL], answers)
            await trio.sleep(BEGUN_S)
            hold(fleet, 2, HARMFUL)
        return answers[0], fleet.harmful_arrivals

    answer, arrivals = run(main, engines=1)
    assert is_not_run(answer)
    assert not arrivals


def test_a_resumed_stream_is_a_request_like_any_other():
    """Streams that end their server after their first events went to the next one."""

    async def main(fleet):
        fleet.harmful_after = 3
        first = await fleet.ask_one([HARMFUL])
        return first, await fleet.ask_one([HARMFUL]), len(fleet.harmful_arrivals)

    first, second, arrivals = run(main)
    assert (first.status, arrivals) == (None, 2)
    assert is_not_run(second)


def test_a_trial_of_a_gateway_that_is_killed_lapses():
    """The other gateways would wait for its end for ever."""

    async def main(fleet):
        hold(fleet, 1)
        await trio.sleep(TRIAL_FROM_S)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, [PART], answers, "g0")
            await trio.sleep(BEGUN_S)
            fleet.kill_gateway("g0")
            nursery.start_soon(fleet.ask, [PART], answers, "g1")
        return max(answers, key=lambda a: a.sent_s)

    answer = run(main, gateways=2)
    assert answer.status == 200
    assert TRIAL_S - 0.1 < answer.took_s < TRIAL_S + 1.0


def test_a_trial_keeps_away_from_a_server_that_others_know_by_an_older_life():
    """A server that had just come back got two trials, and one part the other's end."""

    async def main(fleet):
        for part in ("a", "b"):
            hold(fleet, 1, part)
        await trio.sleep(TRIAL_FROM_S)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, ["a"], answers, "g0")
            await trio.sleep(BEGUN_S)
            fleet.announce_again("g1", 0)
            nursery.start_soon(fleet.ask, ["b"], answers, "g1")
        return max(answers, key=lambda a: a.sent_s)

    answer = run(main, gateways=2, engines=1)
    assert answer.status == 200
    assert answer.took_s > ANSWER_S + BEGUN_S


def test_a_gateway_that_starts_hears_of_closed_parts():
    """It knows nothing, and its callers come back at once."""

    async def main(fleet):
        fleet.kill_gateway("g1")
        hold(fleet, CLOSED, HARMFUL)
        await trio.sleep(2.0)
        await fleet.start_gateway("g1")
        await trio.sleep(TRIAL_FROM_S)
        return await fleet.ask_one([HARMFUL], "g1")

    assert is_not_run(run(main, gateways=3))


def test_gateways_that_restart_send_a_closed_part_on_three_times_at_most():
    """Each start costs a server until the others' next repeat, up to a second later."""

    async def main(fleet):
        hold(fleet, CLOSED, HARMFUL)
        for _ in range(4):
            fleet.kill_gateway("g1")
            await trio.sleep(2.0)
            await fleet.start_gateway("g1")
            await fleet.ask_one([HARMFUL], "g1")
        return len(fleet.harmful_arrivals)

    assert run(main, gateways=2, engines=6) <= 3


def test_all_gateways_learn_though_a_third_of_the_datagrams_is_lost(monkeypatch):
    rng, deliver = Random(1), MemoryEndpoint.deliver

    def lose_some(endpoint, data):
        if rng.random() > 1 / 3:
            deliver(endpoint, data)

    monkeypatch.setattr(MemoryEndpoint, "deliver", lose_some)

    async def main(fleet):
        hold(fleet, CLOSED, HARMFUL)
        await trio.sleep(3.0)
        return [await fleet.ask_one([HARMFUL], f"g{n}") for n in range(6)]

    assert all(map(is_not_run, run(main, gateways=6)))


@pytest.mark.parametrize("trouble", ["reset", "silence", "cut"])
def test_an_engine_that_lives_has_not_ended(trouble):
    """Links that fail, and engines that cut some requests off, close no part."""

    async def main(fleet):
        def strike():
            for number in range(4):
                getattr(fleet.network, trouble)(f"10.1.0.{number}", "10.7.0.0")
            if trouble == "cut":
                fleet.network.heal("10.1.0.0", "10.7.0.0")

        await during(fleet, strike)
        for number in range(4):
            fleet.network.heal(f"10.1.0.{number}", "10.7.0.0")
        return count(fleet), await fleet.ask_one([PART])

    ends, answer = run(main)
    assert ends == 0
    assert (answer.status, answer.took_s < 0.6) == (200, True)


def test_a_request_of_proven_parts_is_sent_on_at_once():
    """Plain ends must cost sound requests no more than before."""

    async def main(fleet):
        now = trio.current_time()
        fleet.nodes["g0"].quarantine.suspects.record_success([HARMFUL], now)
        return await fleet.ask_one([HARMFUL])

    answer = run(main)
    assert (answer.attempts, answer.took_s < 0.5) == (2, True)


def test_all_engines_that_end_at_once_close_no_part():
    """A power cut ends all engines under whatever runs there."""

    async def main(fleet):
        parts = [[PART, f"b{number % 5}"] for number in range(20)]
        lost, answers = [], []
        async with trio.open_nursery() as nursery:
            for each in parts:
                nursery.start_soon(fleet.ask, each, lost)
            await trio.sleep(BEGUN_S)
            for engine in fleet.running():
                fleet.crash(engine)
        await trio.sleep(4.0)
        async with trio.open_nursery() as nursery:
            for each in parts:
                nursery.start_soon(fleet.ask, each, answers)
        return lost, answers

    lost, answers = run(main, gateways=3)
    assert any(answer.status != 200 for answer in lost)
    assert all(answer.status == 200 for answer in answers)


ENDS = {f"life{number}": 1000 * number for number in range(CLOSED)}
NOT_TAKEN = [
    ["g9", [[PART, ENDS, None, None]]],
    ["g0", [[PART, ENDS, None, None]]],
    [["g1"], [[PART, ENDS, None, None]]],
    [None, [[PART, ENDS, None, None]]],
    ["g1", 7],
    ["g1", {PART: ENDS}],
    ["g1", [[PART, [], None, None]]],
    ["g1", [[PART, ENDS, -1, None]]],
    ["g1", [[]]],
    ["g1", [{}]],
    ["g1", [{PART: ENDS}]],
    ["g1", [[7, ENDS, None, None]]],
    ["g1", [[["request:1"], ENDS, None, None]]],
    ["g1", [["request:1", [], None, None]]],
    ["g1", [["server:1", ENDS, None, "x"]]],
]


@pytest.mark.parametrize("told", NOT_TAKEN, ids=lambda told: str(told)[:30])
def test_only_well_formed_records_of_known_gateways_are_taken(told):
    """Whoever reaches the port could have any prompt refused, or end the gateway."""

    async def main(fleet):
        address = Address("10.7.0.0", 71)
        fleet.network.endpoints[address].deliver(orjson.dumps([4, *told]))
        await trio.sleep(0.01)
        before = count(fleet)
        true = [4, "g1", [[PART, ENDS, None, None]]]
        fleet.network.endpoints[address].deliver(orjson.dumps(true))
        await trio.sleep(0.01)
        return before, count(fleet)

    assert run(main, gateways=2, engines=1) == (0, CLOSED)


@pytest.mark.parametrize("reason", ["answer-cut", "answer-stalled"])
@pytest.mark.parametrize("parts", [[PART], []])
def test_a_server_that_ended_counts_however_its_end_appears(reason, parts):
    """A stopped gateway took ended servers for stalled ones, and sent a request on."""

    async def main(fleet):
        (engine,) = fleet.running()
        (server,) = fleet.servers("g0")
        quarantine, now = fleet.nodes["g0"].quarantine, trio.current_time()
        exchange = SimpleNamespace(
            fingerprint=REQUEST,
            parts=parts,
            number="a-1",
            service="s",
            sent_s=now,
            events=0,
            is_send_counted=False,
            is_on_trial=False,
            trial_server=None,
        )
        fleet.crash(engine)
        failure = CallFailed(Verdict.MAY_HAVE_RUN, reason, "")
        await quarantine.note_failed(exchange, server, failure)
        await trio.sleep(0.5)
        crashes = quarantine.requests.get(REQUEST).crash_count()
        return crashes, quarantine.suspects.parts()

    assert run(main, gateways=1, engines=1) == (1, parts)
