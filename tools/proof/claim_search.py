"""Searches seeds for schedules in which a request runs twice."""

from collections import Counter
from random import Random

import trio

from gooseberryyoke.record import Record
from tools.proof.claims import run_world

__all__ = ["ClaimReport", "search_claims"]

_KEYS = 3
_CALLERS = 6
_LATENCY_S = 0.02
_FAULTS = 12
_LAST_TRIES = 40
# An entry frozen with a reservation in hand is the one that could run twice.
_FREEZES = {"reserved": 0.4}
_FREEZES_ELSEWHERE = 0.08


class ClaimReport(Record):
    """
    What a search found.

    Parameters
    ----------
    schedules : int
    told : Counter
        Callers by what they were told.
    runs : Counter
        Keys by how often they ran.
    injected : Counter
        Faults by kind.
    found : list of (int, list of str)
        Seeds with what was wrong.
    """

    __slots__ = ("schedules", "told", "runs", "injected", "found")

    def __init__(self):
        self.schedules = 0
        self.told = Counter()
        self.runs = Counter()
        self.injected = Counter()
        self.found = []


def search_claims(seeds):
    """
    Run a schedule for each seed.

    Parameters
    ----------
    seeds : iterable of int

    Returns
    -------
    ClaimReport
    """
    report = ClaimReport()
    for seed in seeds:
        world = run_world(_Schedule(seed).run, seed, _freeze, _LATENCY_S)
        report.schedules += 1
        report.told.update(told.verdict for _, told in world.told)
        report.runs.update(world.runs.values())
        report.injected += world.injected
        if world.faults():
            report.found.append((seed, world.faults()))
    return report


async def _freeze(world, step, actor):
    """Now and then stop an actor between two steps, for longer than others wait."""
    if world.rng.random() < _FREEZES.get(step, _FREEZES_ELSEWHERE):
        world.injected[f"frozen once {step}"] += 1
        await trio.sleep(world.rng.uniform(0, 6))


class _Schedule:
    """Callers and faults of one seed."""

    def __init__(self, seed):
        self._rng = Random(seed)

    async def run(self, world):
        """Let callers ask while things fail, then ask again in peace."""
        async with trio.open_nursery() as nursery:
            for _ in range(_CALLERS):
                key = f"key-{self._rng.randrange(_KEYS)}"
                nursery.start_soon(self._caller, world, key)
            nursery.start_soon(self._break, world)
        world.replicas.heal()
        for number in range(_KEYS):
            await self._last_word(world, f"key-{number}")

    async def _caller(self, world, key):
        for _ in range(3):
            await trio.sleep(self._rng.uniform(0, 1))
            told = await world.ask(self._rng.choice(("e1", "e2")), key)
            if told is not None and told.verdict == "answer":
                return

    async def _last_word(self, world, key):
        for _ in range(_LAST_TRIES):
            told = await world.ask("e1", key)
            if told is not None and told.verdict == "answer":
                return
            await trio.sleep(0.5)

    async def _break(self, world):
        faults = (
            self._restart_entry,
            self._restart_agent,
            self._kill_replica,
            self._lose_replica,
            self._cut,
            self._heal,
        )
        for _ in range(_FAULTS):
            await trio.sleep(self._rng.uniform(0, 0.3))
            await self._rng.choice(faults)(world)

    async def _restart_entry(self, world):
        world.injected["entry killed"] += 1
        await world.start_entry(self._rng.choice(("e1", "e2")))

    async def _restart_agent(self, world):
        world.injected["agent killed"] += 1
        world.agents[self._rng.choice(sorted(world.agents))].restart()

    async def _kill_replica(self, world):
        seat = self._rng.choice(world.replicas.seats)
        world.injected["replica killed"] += 1
        world.replicas.kill(seat)
        await trio.sleep(self._rng.uniform(0, 0.5))
        await world.replicas.start(seat)

    async def _lose_replica(self, world):
        ready = [seat for seat, item in world.replicas.running.items() if item.is_ready]
        if len(ready) < len(world.replicas.seats):
            return
        world.injected["disk lost"] += 1
        await world.lose_replica(self._rng.choice(world.replicas.seats))

    async def _cut(self, world):
        world.injected["link cut"] += 1
        hosts = ("e1", "e2", *world.replicas.seats)
        source, target = self._rng.sample(hosts, 2)
        world.replicas.cut(source, target, one_way=self._rng.random() < 0.5)

    async def _heal(self, world):
        world.replicas.heal()
        await trio.lowlevel.checkpoint()
