import pytest
import trio

from gooseberryyoke_daemon.testing.crash_engine import HARMFUL
from gooseberryyoke_daemon.testing.crash_fleet import run_fleet

RATE = 20.0
KNOWN_S, LOAD_S = 4.0, 30.0
LEARNED_S = 3.0
"""After the fifth crash, by which all gateways have to know."""
MOST_SENT_ON = 3
FIRST_PARTS = [f"first{number}" for number in range(4)]
SECOND_PARTS = [f"second{number}" for number in range(20)]


def sound(rng):
    return [rng.choice(FIRST_PARTS), rng.choice(SECOND_PARTS)]


def harmful_in(share):
    """Make prompts of which a share has the harmful part, between sound ones."""

    def parts(rng):
        first, second = sound(rng)
        return [first, HARMFUL, second] if rng.random() < share else [first, second]

    return parts


def begun_at_first(answers):
    """Give the share of sound requests that began at their first attempt."""
    sound_ones = [answer for answer in answers if HARMFUL not in answer.parts]
    begun = [a for a in sound_ones if a.status == 200 and a.attempts == 1]
    return len(begun) / len(sound_ones)


def sent_on(fleet):
    """Count the harmful requests that reached engines after all had to know."""
    if len(fleet.crashes) < 5:
        return 0
    from_s = sorted(fleet.crashes)[4] + LEARNED_S
    return sum(at >= from_s for at in fleet.harmful_arrivals)


@pytest.mark.parametrize("share", [0.05, 0.2])
@pytest.mark.parametrize("gateways", [1, 4])
def test_a_part_that_crashes_engines_is_sent_to_no_more_of_them(gateways, share):
    """One engine after the other ends while nobody connects the ends."""
    outcome = {}

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        answers = await fleet.ask_often(RATE, LOAD_S, harmful_in(share))
        outcome["sent_on"] = sent_on(fleet)
        outcome["served"] = begun_at_first(a for a in answers if a.sent_s > 20.0)

    run_fleet(main, gateways, engines=6)
    assert outcome["sent_on"] <= MOST_SENT_ON
    assert outcome["served"] > 0.9


def test_a_part_that_was_sound_and_begins_to_crash_engines_is_sent_to_few():
    """Proven lately, it ended all engines twice: many ends at once count as one."""
    outcome = {}

    async def main(fleet):
        fleet.harmful_after = 99
        await fleet.ask_often(RATE, 3.0, harmful_in(0.2))
        fleet.harmful_arrivals.clear()
        fleet.harmful_after = 0
        await fleet.ask_often(1.5 * RATE, 12.0, harmful_in(0.2))
        outcome["sent_on"] = sent_on(fleet)

    run_fleet(main, gateways=2, engines=5)
    assert outcome["sent_on"] <= MOST_SENT_ON


def test_engines_that_crash_for_other_reasons_close_no_part():
    """Parts that merely ran where an engine ended must not be refused for it."""
    outcome = {}

    async def crash_some(fleet):
        for _ in range(8):
            await trio.sleep(3.5)
            fleet.crash_any()

    async def main(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_some, fleet)
            outcome["answers"] = await fleet.ask_often(RATE, LOAD_S, sound)

    run_fleet(main, gateways=4, engines=6)
    failed = [answer for answer in outcome["answers"] if answer.status != 200]
    assert not failed


@pytest.mark.parametrize("gateways", [2, 4])
def test_one_gateway_alone_tries_a_suspected_part(gateways):
    """Trials that all gateways begin in the same moment end an engine each."""
    outcome = {}

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, [HARMFUL], [], "g0")
            await trio.sleep(0.5)
            for name in fleet.nodes:
                nursery.start_soon(fleet.ask, [HARMFUL], [], name)
        outcome["crashes"] = len(fleet.crashes)

    run_fleet(main, gateways, engines=6)
    assert outcome["crashes"] == 2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_new_part_that_came_with_the_harmful_one_is_not_closed(seed):
    """A sound part is quarantined if its trial is that of the harmful one, too."""
    outcome = {}

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, ["new", HARMFUL], [], "g0")
            await trio.sleep(0.5)
            for name in fleet.nodes:
                nursery.start_soon(fleet.ask, ["new", HARMFUL], [], name)
                nursery.start_soon(fleet.ask, ["new"], answers, name)
            await trio.sleep(4.0)
            nursery.start_soon(fleet.ask, ["new"], answers)
        outcome["answers"] = answers

    run_fleet(main, gateways=4, engines=6, seed=seed)
    assert [answer.status for answer in outcome["answers"]] == [200] * 5


def test_a_new_part_is_not_closed_for_a_harmful_trial_at_the_same_engine():
    """A sound part is quarantined if its trial runs where another one ends."""
    outcome = {}

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, ["new", HARMFUL], [], "g0")
            await trio.sleep(0.5)
            for name in fleet.nodes:
                nursery.start_soon(fleet.ask, [HARMFUL], [], name)
                nursery.start_soon(fleet.ask, ["new"], [], name)
            await trio.sleep(5.0)
            for name in fleet.nodes:
                nursery.start_soon(fleet.ask, ["new"], answers, name)
        outcome["answers"] = answers

    run_fleet(main, gateways=4, engines=2)
    assert [answer.status for answer in outcome["answers"]] == [200] * 4


@pytest.mark.parametrize("engines", [2, 3, 6])
@pytest.mark.parametrize("seed", range(2, 6))
def test_sound_new_parts_are_not_closed_by_trials_of_a_harmful_one(seed, engines):
    """Trials of several new parts meet at the engine that one of them ends."""
    outcome = {}
    new = [f"new{number}" for number in range(3)]

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, [*new, HARMFUL], [], "g0")
            await trio.sleep(0.5)
            for name in fleet.nodes:
                for part in (HARMFUL, *new):
                    nursery.start_soon(fleet.ask, [part], [], name)
            await trio.sleep(8.0)
            for part in new:
                nursery.start_soon(fleet.ask, [part], answers)
        outcome["statuses"] = [answer.status for answer in answers]
        outcome["ends"] = len(fleet.harmful_ends)

    run_fleet(main, gateways=4, engines=engines, seed=seed)
    assert outcome["statuses"] == [200] * 3
    assert outcome["ends"] <= 2


async def wait_for_trial(fleet, part):
    suspects = fleet.nodes["g0"].quarantine.suspects
    with trio.fail_after(3.0):
        while suspects.get(part).trial_until_s(trio.current_time()) is None:
            await trio.sleep(0.01)


@pytest.mark.parametrize("gateways", [1, 4])
def test_a_new_part_is_served_soon_after_its_trial_met_the_end_of_an_engine(gateways):
    """A sound part on trial where a request ends the engine was refused for 30 s."""
    outcome = {}

    async def main(fleet):
        await fleet.ask_often(RATE, KNOWN_S, sound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, ["new", HARMFUL], [], "g0")
            await trio.sleep(0.5)
            nursery.start_soon(fleet.ask, ["new"], [])
            await wait_for_trial(fleet, "new")
            await trio.sleep(0.05)
            for engine in fleet.running():
                fleet.crash(engine)
        await trio.sleep(5.0)
        answers = [await fleet.ask_one(["new"], name) for name in fleet.nodes]
        outcome["statuses"] = [answer.status for answer in answers]

    run_fleet(main, gateways, engines=6)
    assert outcome["statuses"] == [200] * gateways
