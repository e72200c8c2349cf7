"""One run: engines leave and come back while those who acknowledge it are killed."""

from random import Random

import trio

from examples.demonstration.report import Point
from gooseberryyoke.record import Record
from gooseberryyoke_platform.names import LEAVE_PREFIX
from tools.soak.engine import Engine
from tools.soak.faults import Kill, Pause
from tools.soak.routed_deployment import RoutedDeployment
from tools.soak.routed_soak import RoutedSoak

__all__ = ["DepartureSoak", "Left", "LeavingEngine", "arrivals_after_leaving"]

_DRAIN_S = 2.0
_CONTACT_S = 3.0
"""After the last process is back, until the bound of a departure holds."""
_MARGIN_S = 0.3
_READY_S = (0.3, 4.0)
_SERVES_ON_S = (4.0, 10.0)
_AWAY_S = (0.0, 1.0)
_KILLED_PART = 0.5
"""Of the acknowledgements, after which the process that gave it is killed."""
_KILLED_AFTER_S = (0.0, 0.0, 0.03, 0.3)
_DOWN_S = (0.1, 2.0)
_SERIES = 3
"""Faults that overlap, most."""
_CALM_S = (0.5, 8.0)
"""Between two series."""


class Left(Record):
    """
    A departure as its engine saw it.

    Parameters
    ----------
    acked_s, until_s : float
        When it was acknowledged, and when the engine's next incarnation began.
    """

    __slots__ = ("acked_s", "until_s")

    def __init__(self, acked_s, until_s=float("inf")):
        self.acked_s = acked_s
        self.until_s = until_s


def arrivals_after_leaving(departures, arrivals, disturbed):
    """
    Tell how long after acknowledgements requests arrived too late.

    Parameters
    ----------
    departures : list of Left
        Of one engine.
    arrivals : list of float
    disturbed : list of (float, float)
        From when to when a process was out.

    Returns
    -------
    list of float
        In seconds since the acknowledgement.
    """
    late = []
    for left in departures:
        from_s = left.acked_s + _DRAIN_S + _MARGIN_S
        late += [
            at_s - left.acked_s
            for at_s in arrivals
            if from_s < at_s < left.until_s and _is_calm(at_s, disturbed)
        ]
    return late


def _is_calm(at_s, disturbed):
    calm_s = _CONTACT_S + _MARGIN_S
    return not any(begin_s <= at_s <= end_s + calm_s for begin_s, end_s in disturbed)


class LeavingEngine(Engine):
    """
    An engine that leaves and begins anew.

    Attributes
    ----------
    departures : list of Left
        Those that were acknowledged.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.departures = []

    def stop_announcing(self):
        """Say no more that it is ready."""
        self.is_up = False

    def begin_anew(self):
        """Begin another incarnation under the same id."""
        if self.departures:
            self.departures[-1].until_s = min(
                self.departures[-1].until_s, trio.current_time()
            )
        self.return_cold(0)
        self.is_up = True

    def farewell(self):
        """Make the call before the end."""
        self._sequence += 1
        return {"born": self._born_ms, "sequence": self._sequence}


class DepartureSoak(RoutedSoak):
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of the departures, faults and requests.
    seconds : float
        For which faults come.
    """

    def __init__(self, folder, seed, seconds):
        super().__init__(folder, seed, seconds, Random(f"{seed} departures"))
        self._disturbed = []

    @property
    def departures(self):
        """The departures that were acknowledged."""
        return [left for one in self._deployment.engines for left in one.departures]

    def _make_deployment(self):
        return RoutedDeployment(self._folder, self._seed, LeavingEngine)

    async def _storm(self):
        async with trio.open_nursery() as callers:
            callers.start_soon(self._send_for_ever, callers)
            async with trio.open_nursery() as nursery:
                # The first two stay, so that there is always one to take requests.
                for engine in self._deployment.engines[2:]:
                    nursery.start_soon(self._leave_and_return, engine, nursery)
                nursery.start_soon(self._disturb)
            callers.cancel_scope.cancel()

    def _goes_on(self):
        return trio.current_time() < self._started_s + self._seconds

    async def _leave_and_return(self, engine, nursery):
        while self._goes_on():
            await trio.sleep(self._rng.uniform(*_READY_S))
            engine.stop_announcing()
            says_draining = self._rng.random() < 0.5
            path, document = f"{LEAVE_PREFIX}{engine.id}", engine.farewell()
            if says_draining:
                path = self._deployment.heartbeat_path(engine)
                document = {**engine.announcement(), "state": "draining"}
            name = await self._deployment.tell(path, document)
            self._note(f"{engine.id} leaves: {name or 'not acknowledged'}")
            if name is not None:
                engine.departures.append(Left(trio.current_time()))
                self._perhaps_kill(name, nursery)
            await trio.sleep(self._rng.uniform(*_SERVES_ON_S))
            if says_draining:
                path = f"{LEAVE_PREFIX}{engine.id}"
                await self._deployment.tell(path, engine.farewell())
            await trio.sleep(self._rng.uniform(*_AWAY_S))
            engine.begin_anew()

    def _perhaps_kill(self, name, nursery):
        if self._rng.random() < _KILLED_PART:
            after_s = self._rng.choice(_KILLED_AFTER_S)
            fault = Kill(name, round(self._rng.uniform(*_DOWN_S), 2))
            nursery.start_soon(self._kill_after, after_s, fault)

    async def _kill_after(self, after_s, fault):
        await trio.sleep(after_s)
        await self._apply(fault)

    async def _disturb(self):
        """Apply faults in series that overlap, with calm between them."""
        while self._goes_on():
            await trio.sleep(self._rng.uniform(*_CALM_S))
            async with trio.open_nursery() as nursery:
                for _ in range(self._rng.randint(1, _SERIES)):
                    nursery.start_soon(self._apply, self._draw())

    def _draw(self):
        for_s = round(self._rng.uniform(*_DOWN_S), 2)
        names = (*self._deployment.controls, *self._deployment.gateways)
        name = self._rng.choice(names)
        return self._rng.choice((Kill(name, for_s), Pause(name, for_s)))

    async def _apply(self, fault):
        span = [trio.current_time(), float("inf")]
        self._disturbed.append(span)
        await super()._apply(fault)
        span[1] = trio.current_time()

    async def _calm(self):
        await self._deployment.wait_until_ready()
        await trio.sleep(_CONTACT_S)
        await self._check_answered()

    def _check(self):
        faults = []
        for engine in self._deployment.engines:
            late_s = arrivals_after_leaving(
                engine.departures, engine.arrivals, self._disturbed
            )
            faults += [f"{engine.id}: {after_s:.2f} s after" for after_s in late_s]
        self._note(f"{len(self.departures)} departures were acknowledged")
        text = f"nothing arrives {_DRAIN_S:g} s after an acknowledged departure"
        self.result.points.append(Point(text, faults))
