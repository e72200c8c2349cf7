import sys
from itertools import combinations
from pathlib import Path

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis.strategies import randoms
from returns.result import Failure, Success

ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT))

from gooseberryyoke.register import (  # noqa: E402
    Acceptor,
    ReadOperation,
    Unavailable,
    Versioned,
    WriteOperation,
)
from tools.proof.claim_search import search_claims  # noqa: E402
from tools.proof.claims import STEPS, run_world  # noqa: E402
from tools.proof.evacuation_mutations import MUTATIONS  # noqa: E402
from tools.proof.evacuation_search import search_evacuations  # noqa: E402
from tools.proof.evacuations import EVACUATION_PROFILES  # noqa: E402
from tools.proof.history import Entry, History  # noqa: E402
from tools.proof.profiles import PROFILES  # noqa: E402
from tools.proof.search import search_registers  # noqa: E402
from tools.proof.world import RegisterWorld  # noqa: E402

VICTIMS = ("entry", "agent", "r1", "r2", "r3")
PAIRS = [(one,) for one in VICTIMS] + list(combinations(VICTIMS, 2))


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("profile", PROFILES)
def test_registers_do_one_operation_at_a_time(profile, size):
    """
    Callers see each register as one place. Messages are reordered, doubled and
    lost, replicas crash with unsynced records, lose disks and are repaired.
    """
    seeds = range(60 if size == 3 else 25)
    assert search_registers(seeds, profile, size).found == []


def test_the_search_finds_a_holder_that_votes_while_it_is_copied(monkeypatch):
    # Guards against a search that passes over what a succession has to rule out.
    phase = Acceptor.phase

    def voting_on(self):
        successor, self.successor = self.successor, None
        found = phase(self)
        self.successor = successor
        return found

    monkeypatch.setattr(Acceptor, "phase", voting_on)
    assert search_registers(range(60), "handed over").found


@settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(randoms(use_true_random=False))
def test_small_schedules_that_hypothesis_chooses(rng):
    world = RegisterWorld(rng, operations=3, profile=PROFILES["crossed"])
    assert world.run() == []


def test_requests_run_at_most_once_whatever_fails():
    """
    No key runs twice and all its answers are the same. Entries and agents are
    killed and frozen, replicas killed and emptied, links cut, at random.
    """
    report = search_claims(range(25))
    assert report.found == []
    assert max(report.runs) == 1


@pytest.mark.parametrize("profile", EVACUATION_PROFILES)
def test_the_last_acknowledged_order_to_evacuate_holds(profile):
    """
    No state contradicts an acknowledged order, unless an opposite one was open at the
    same time or sent later. Two operators order, repeat and take back; messages are
    late, lost and doubled, processes killed and frozen, disks lost.
    """
    assert search_evacuations(range(12), profile).found == []


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_search_notices_a_safeguard_of_evacuations_that_is_missing(name):
    """Guards against a search whose schedules or checks have become too tame."""
    mutation = MUTATIONS[name]
    report = search_evacuations(range(100), mutation.profile, mutation, most_found=1)
    assert report.found


def test_a_seed_means_one_schedule():
    first, second = search_claims(range(3)), search_claims(range(3))
    assert first.told == second.told
    assert first.injected == second.injected


@pytest.mark.parametrize("victims", PAIRS, ids="+".join)
@pytest.mark.parametrize("step", STEPS)
def test_killed_at_a_step_runs_at_most_once(step, victims):
    """
    A caller's request runs at most once and the next one with its key is told the
    truth. Entry, agent or a replica's disk, alone and in pairs, are lost at one
    step between the look-up, reservation, run, answer and settlement.
    """
    killed = []

    async def hook(world, at, actor):
        if at != step or killed:
            return
        killed.append(at)
        for victim in victims:
            await kill(world, victim)

    async def kill(world, victim):
        if victim == "entry":
            await world.start_entry("e1")
        elif victim == "agent":
            for agent in world.agents.values():
                agent.restart()
        else:
            await world.lose_replica(victim)
            await world.replicas.wait_ready(victim)

    async def main(world):
        with trio.move_on_after(10):
            await world.ask("e1", "key")
        told = await world.ask("e2", "key")
        if "agent" not in victims:
            assert told.verdict == "answer"
        if told.verdict == "answer":
            assert world.runs["key"] == 1

    world = run_world(main, 1, hook)
    assert killed == [step]
    assert world.faults() == []


def entry(operation, began, ended, result):
    return Entry(operation, began, ended, Success(result))


READ = ReadOperation("k")


@pytest.mark.parametrize(
    "entries",
    [
        [
            entry(WriteOperation("k", 0, "a"), 0, 1, Versioned(1, "a")),
            entry(READ, 2, 3, Versioned(0, None)),
        ],
        [
            entry(WriteOperation("k", 0, "a"), 0, 1, Versioned(1, "a")),
            entry(WriteOperation("k", 0, "b"), 0, 1, Versioned(2, "b")),
        ],
        [
            entry(READ, 0, 1, Versioned(2, "b")),
            entry(READ, 2, 3, Versioned(1, "a")),
        ],
        [
            entry(READ, 0, 1, Versioned(1, "a")),
            entry(READ, 0, 1, Versioned(2, "a")),
        ],
        [
            Entry(
                WriteOperation("k", 0, "a"), 0, 1, Failure(Unavailable(False, "none"))
            ),
            entry(READ, 0, 1, Versioned(1, "a")),
        ],
    ],
    ids=["lost", "forked", "stale", "twice", "denied"],
)
def test_checker_finds_a_history_that_cannot_be(entries):
    history = History()
    for item in entries:
        history.add(item)
    assert len(list(history.faults())) == 1
