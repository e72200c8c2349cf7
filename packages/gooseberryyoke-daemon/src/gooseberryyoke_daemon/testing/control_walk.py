"""Random losses among the control processes of a deployment."""

from random import Random

import trio

__all__ = ["RECOVERY_S", "ControlWalk"]

RECOVERY_S = 25.0
"""Within which all seats vote again once nothing is lost any more."""


class ControlWalk:
    """
    Takes steps at random, with pauses that are mostly short.

    A derived class gives `_acts` and `_cut`, and keeps what was acknowledged.

    Parameters
    ----------
    deployment : ControlDeployment
    seed, tolerance, spares : int
        How many disks may be lost at once, and how many processes have no seat at
        first.
    nursery : trio.Nursery, optional
        For what goes on during later steps.

    Attributes
    ----------
    seats : int
    wipes, replacements : int
        Processes that were started again with an emptied folder: lost, and replaced as
        planned.
    """

    longest_pause_s = 3.0

    def __init__(self, deployment, seed, tolerance, spares, nursery=None):
        self.seats = 2 * tolerance + 1
        self.wipes = self.replacements = 0
        self._deployment = deployment
        self._nursery = nursery
        self._rng = Random(seed)
        self._tolerance = tolerance
        self._numbers = range(1, self.seats + spares + 1)
        self._wiped = set()
        self._cuts = set()

    async def begin(self):
        """Start all control processes, and wait until each seat votes."""
        for number in self._numbers:
            await self._deployment.start(number, founding=True, seats=self.seats)
        await self._until_all_seats_vote()

    async def step(self):
        """Do something at random, and pause."""
        await self._rng.choice(self._acts())()
        pause_s = self._rng.uniform(0, self.longest_pause_s) ** 2
        await trio.sleep(pause_s / self.longest_pause_s)
        self._wiped -= self._held()

    async def _start_all(self):
        """End all cuts, start what does not run, and wait until each seat votes."""
        await self._heal()
        for number in set(self._numbers) - set(self._deployment.running):
            await self._deployment.start(number, seats=self.seats)
        await self._until_all_seats_vote()

    def _held(self):
        return {
            control.keeper.replica.seat
            for number, control in self._deployment.running.items()
            if self._deployment.is_ready(number)
        }

    async def _until_all_seats_vote(self):
        with trio.fail_after(RECOVERY_S):
            while len(self._held()) < self.seats:
                await trio.sleep(0.1)

    def _some(self, numbers):
        numbers = sorted(numbers)
        return self._rng.choice(numbers) if numbers else None

    def _voting(self):
        running = self._deployment.running
        return [number for number in running if self._deployment.is_ready(number)]

    async def _kill(self):
        number = self._some(self._deployment.running)
        if number is not None:
            self._deployment.kill(number)

    async def _wipe(self):
        # As many disks as the deployment has to bear, counted until another process,
        # or the same, votes in the seat again.
        number = self._some(self._voting())
        if number is None:
            return
        seat = self._deployment.running[number].keeper.replica.seat
        if len(self._wiped | {seat}) <= self._tolerance:
            self._kill_and_wipe(number)

    def _kill_and_wipe(self, number):
        self._wiped.add(self._deployment.running[number].keeper.replica.seat)
        self.wipes += 1
        self._deployment.kill(number, wipe=True)

    async def _replace(self):
        """Take the machine of a seat away as planned, once another has its seat."""
        running = self._deployment.running
        number = self._some(self._voting())
        if number is None:
            return
        control = running[number]
        await control.hand_over()
        if running.get(number) is not control:
            return
        # The process itself knows: its map may lack the seat that it has just taken.
        replica = control.keeper.replica
        is_given = replica is None or replica.is_handed_over
        self.replacements += is_given
        self._deployment.kill(number, wipe=is_given)

    def _replace_meanwhile(self):
        return self._begin_meanwhile(self._replace)

    async def _begin_meanwhile(self, act):
        self._nursery.start_soon(act)

    async def _start(self):
        number = self._some(set(self._numbers) - set(self._deployment.running))
        if number is not None:
            await self._deployment.start(number, seats=self.seats)

    def _cut_between(self, a, b):
        self._cuts.add((a, b))
        self._deployment.network.cut(a, b)

    async def _heal(self):
        for a, b in sorted(self._cuts):
            self._deployment.network.heal(a, b)
        self._cuts.clear()
