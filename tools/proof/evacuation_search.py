"""Searches seeds for schedules in which an acknowledged evacuation doesn't hold."""

from collections import Counter
from random import Random

import trio

from gooseberryyoke.evacuation import EvacuationOrder, OrderKind
from gooseberryyoke.record import Record
from tools.proof.evacuation_mutations import Mutation
from tools.proof.evacuations import (
    CONTROLS,
    DATA_CENTRES,
    EVACUATION_PROFILES,
    run_evacuations,
)

__all__ = ["EvacuationReport", "search_evacuations"]

_OPERATORS = 2
_ORDERS = 6
_CALM_S = 10.0
"""In which all that is late arrives, and the replicas that are down come back."""
_READ_EVERY_S = 0.2


class EvacuationReport(Record):
    """
    What a search found.

    Parameters
    ----------
    schedules : int
    orders : Counter
        Sendings of orders by how they ended.
    injected : Counter
        Faults by kind.
    found : list of (int, list of str)
        Seeds with what was wrong.
    """

    __slots__ = ("schedules", "orders", "injected", "found")

    def __init__(self):
        self.schedules = 0
        self.orders = Counter()
        self.injected = Counter()
        self.found = []


def search_evacuations(seeds, profile, mutation=Mutation, most_found=None):
    """
    Run a schedule for each seed.

    Parameters
    ----------
    seeds : iterable of int
    profile : str
        One of `EVACUATION_PROFILES`.
    mutation : type, optional
        Of `MUTATIONS`, to see that the search notices it.
    most_found : int, optional
        Seeds with faults after which the search ends.

    Returns
    -------
    EvacuationReport
    """
    report = EvacuationReport()
    for seed in seeds:
        chosen = EVACUATION_PROFILES[profile]
        world = run_evacuations(_Schedule(seed).run, seed, chosen, mutation)
        report.schedules += 1
        report.injected += world.injected
        report.orders.update(
            "refused or given up" if attempt.state is None else "acknowledged"
            for attempt in world.attempts
        )
        if faults := world.faults():
            report.found.append((seed, faults))
            if len(report.found) == most_found:
                break
    return report


class _Schedule:
    """Operators and faults of one seed."""

    def __init__(self, seed):
        self._rng = Random(seed)

    async def run(self, world):
        """Let operators order while things fail, then read in peace."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, world)
            async with trio.open_nursery() as operators:
                for _ in range(_OPERATORS):
                    operators.start_soon(self._operate, world)
                operators.start_soon(self._break, world)
            world.is_calm = True
            world.replicas.heal()
            await trio.sleep(_CALM_S)
            nursery.cancel_scope.cancel()
        while not await world.read():
            await trio.sleep(0.5)

    async def _operate(self, world):
        for _ in range(_ORDERS):
            await trio.sleep(self._rng.uniform(0, world.profile.pause_s))
            kind = self._rng.choice(list(OrderKind))
            data_centre = self._rng.choice(DATA_CENTRES)
            order = EvacuationOrder(kind, data_centre)
            is_acked = await self._send(world, order)
            if not is_acked and self._rng.random() < world.profile.taken_back:
                opposite = next(other for other in OrderKind if other is not kind)
                await self._send(world, EvacuationOrder(opposite, data_centre))

    async def _send(self, world, order):
        for _ in range(self._rng.randint(1, world.profile.most_tries)):
            if await world.order(order):
                return True
        return False

    async def _read(self, world):
        while True:
            await trio.sleep(self._rng.uniform(0, 2 * _READ_EVERY_S))
            await world.read()

    async def _break(self, world):
        faults = (self._restart_control, self._kill_replica, self._lose_disk)
        faults += (self._cut, self._cut, self._heal)
        for _ in range(world.profile.faults):
            await trio.sleep(self._rng.uniform(0, 1.5))
            await self._rng.choice(faults)(world)

    async def _restart_control(self, world):
        world.injected["control killed"] += 1
        await world.start_control(self._rng.choice(CONTROLS))

    async def _kill_replica(self, world):
        seat = self._rng.choice(world.replicas.seats)
        world.injected["replica killed"] += 1
        world.replicas.kill(seat)
        await trio.sleep(self._rng.uniform(0, 1.0))
        await world.replicas.start(seat)

    async def _lose_disk(self, world):
        running = world.replicas.running.values()
        if not all(replica.is_ready for replica in running):
            return
        world.injected["disk lost"] += 1
        seat = self._rng.choice(world.replicas.seats)
        world.replicas.kill(seat)
        world.replicas.lose_disk(seat)
        await world.replicas.start(seat)

    async def _cut(self, world):
        world.injected["link cut"] += 1
        source, target = self._rng.sample((*CONTROLS, *world.replicas.seats), 2)
        world.replicas.cut(source, target, one_way=self._rng.random() < 0.5)

    async def _heal(self, world):
        world.replicas.heal()
        await trio.lowlevel.checkpoint()
