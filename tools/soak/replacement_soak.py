"""One run: control machines are replaced as planned while others lose their disks."""

from random import Random

import trio

from examples.demonstration.report import Point
from tools.soak.faults import Kill, Pause
from tools.soak.routed_deployment import RoutedDeployment
from tools.soak.routed_soak import RoutedSoak

__all__ = ["ReplacementSoak"]

_GRACE_S = 8
_CATCH_UP_S = 4.0
"""After its start, until a machine no longer counts as lost."""
_MARGIN_S = 1.0
_RECOVERY_S = 12.0
_SUCCESSORS_EARLY_PART = 0.7
"""Of the replacements, in which the successor has caught up before the stop."""
_LATE_S = (0.0, 4.0)
"""From the stop to the start of a successor that comes later."""
_REST_S = (0.0, 3.0)
"""Between the end of a machine and the stop of the next one, of a series."""
_SERIES = 3
_CALM_S = (0.5, 5.0)
_LOSS_S = (1.0, 10.0)
_LOSS_AFTER_S = (0.0, 2.0)
_DISTURBED_PART = 0.5
"""Of the stops, at which another machine is lost, killed or frozen."""
_PUT_S = (0.1, 1.0)


class ReplacementSoak(RoutedSoak):
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of the replacements, faults and requests.
    seconds : float
        For which they come.
    """

    def __init__(self, folder, seed, seconds):
        super().__init__(folder, seed, seconds, Random(f"{seed} replacements"))
        self._started_at_s = {}
        self._acked = 0
        self._late = []
        self._older = []
        self._lost = None
        self._away = 0
        self.replaced = 0

    def _make_deployment(self):
        return RoutedDeployment(self._folder, self._seed, grace_s=_GRACE_S)

    async def _storm(self):
        async with trio.open_nursery() as callers:
            callers.start_soon(self._send_for_ever, callers)
            callers.start_soon(self._change)
            callers.start_soon(self._read)
            async with trio.open_nursery() as nursery:
                await self._replace_in_series(nursery)
            callers.cancel_scope.cancel()

    def _goes_on(self):
        return trio.current_time() < self._started_s + self._seconds

    async def _replace_in_series(self, nursery):
        while self._goes_on():
            await trio.sleep(self._rng.uniform(*_CALM_S))
            for _ in range(self._rng.randint(1, _SERIES)):
                await self._until_none_is_lost()
                await self._replace(nursery)
                await trio.sleep(self._rng.uniform(*_REST_S))

    async def _until_none_is_lost(self):
        while self._lost is not None or self._away:
            await trio.sleep(0.1)

    async def _replace(self, nursery):
        name = self._rng.choice(self._deployment.controls)
        is_early = self._rng.random() < _SUCCESSORS_EARLY_PART
        if is_early:
            successor = self._deployment.add_control()
            await trio.sleep(_CATCH_UP_S + _MARGIN_S)
            if self._rng.random() < _DISTURBED_PART:
                others = set(self._deployment.controls) - {name, successor}
                nursery.start_soon(self._disturb, self._rng.choice(sorted(others)))
        else:
            # The machine counts as lost until its successor has caught up.
            self._away += 1
            nursery.start_soon(self._start_late)
        self._note(f"{name} is stopped for good, successor {is_early=}")
        if not await self._deployment.remove_control(name, _GRACE_S):
            self._late.append(f"{name} had to be killed")
        self.replaced += 1

    async def _start_late(self):
        await trio.sleep(self._rng.uniform(*_LATE_S))
        self._deployment.add_control()
        await trio.sleep(_CATCH_UP_S + _MARGIN_S)
        self._away -= 1

    async def _disturb(self, name):
        """Lose a machine during a stop: with its disk, by a kill, or frozen."""
        self._lost = name
        await trio.sleep(self._rng.uniform(*_LOSS_AFTER_S))
        for_s = round(self._rng.uniform(*_LOSS_S), 2)
        kind = self._rng.choice(("disk", "kill", "freeze"))
        self._note(f"{name}: {kind} for {for_s:g} s")
        if kind == "disk":
            self._deployment.processes.kill(name)
            self._deployment.lose_disk(name)
            await trio.sleep(for_s)
            self._deployment.start(name)
        else:
            fault = Kill(name, for_s) if kind == "kill" else Pause(name, for_s)
            await self._apply(fault)
        await trio.sleep(_CATCH_UP_S + _MARGIN_S)
        self._lost = None

    async def _change(self):
        """Change the configuration until cancelled."""
        version = 1
        while True:
            version += 1
            if await self._deployment.put_version(version) is not None:
                self._acked = version
            await trio.sleep(self._rng.uniform(*_PUT_S))

    async def _read(self):
        """Read at any control process until cancelled; none may give an older one."""
        while True:
            expected = self._acked
            name = self._rng.choice(self._deployment.controls)
            found = await self._deployment.read_version(name)
            if found is not None and found < expected:
                self._older.append(f"{name}: {found}, acknowledged {expected}")
            await trio.sleep(0.1)

    async def _calm(self):
        await self._deployment.wait_until_ready()
        with trio.move_on_after(_RECOVERY_S):
            while set(await self._versions()) - set(range(self._acked, 10**6)):
                await trio.sleep(0.2)
        await self._check_answered()

    async def _versions(self):
        names = self._deployment.controls
        found = [await self._deployment.read_version(name) for name in names]
        self._found = dict(zip(names, found, strict=True))
        return [0 if version is None else version for version in found]

    def _check(self):
        self._note(f"{self.replaced} machines replaced, {self._acked} acknowledged")
        lacking = [
            f"{name}: {version}, acknowledged {self._acked}"
            for name, version in self._found.items()
            if version is None or version < self._acked
        ]
        self.result.points += [
            Point("the acknowledged configuration is read at all", lacking),
            Point("no read is older than what was acknowledged", self._older),
            Point("a planned stop ends within its grace", self._late),
        ]
