"""One run: a deployment of real processes, callers, random faults, and the checks."""

from functools import singledispatchmethod
from random import Random
from time import time

import trio

from examples.demonstration.caller import Caller
from examples.demonstration.deployment import Deployment
from examples.demonstration.profile import PROFILES
from examples.demonstration.report import Point, check_outcomes
from examples.demonstration.workload import make_jobs
from gooseberryyoke_daemon.testing.arrivals import ArrivalCheck
from gooseberryyoke_daemon.wire import HttpClient, TcpNetwork, WireError
from tools.soak.faults import (
    Cut,
    Delay,
    Kill,
    Pause,
    Reset,
    Roll,
    Term,
    TurnAway,
    describe,
    draw_faults,
    draw_refusals,
)
from tools.soak.proxy import Proxy

__all__ = ["Soak", "SoakResult"]

_ENGINES = 3
_PLAIN_SERVERS = 2
_REPLICAS = 3
_JOBS_A_SECOND = 12
_CALM_JOBS = 30
_CALM_AFTER_S = 3.0
"""For what timeouts, leases and heartbeats find out once all is well again."""
_STOP_TIMEOUT_S = 20.0
_ROLL_TIMEOUT_S = 5.0
_NEXT_VERSION = 2
_OK = 200
_RECOVERED_S = 1.0
"""After a fault, until what it held back has arrived."""
_UNPROMISED = ("is answered",)
"""Points of `check_outcomes` that nobody promises while a majority of the replicas is
down. They are checked of the requests that are sent after the faults."""


class SoakResult:
    """
    What a run has found.

    Attributes
    ----------
    points : list of Point
    events : list of str
        Faults with their times, in order.
    """

    __slots__ = ("points", "events")

    def __init__(self):
        self.points = []
        self.events = []

    @property
    def is_good(self):
        """Whether each point held."""
        return not any(point.faults for point in self.points)


class Soak:
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Emptied first.
    ports : Ports
    seed : int
        Of the faults, the requests and the callers.
    seconds : float
        For which faults come.
    profile_name : str
        Deployment of the examples that the run is made after.
    """

    def __init__(self, folder, ports, seed, seconds, profile_name="celins"):
        profile = next(p for p in PROFILES if p.name == profile_name)
        self._profile = profile.replace(engines=_ENGINES, plain_servers=_PLAIN_SERVERS)
        self._seed = seed
        self._seconds = seconds
        self._rng = Random(seed)
        self._ports = ports
        self._proxies = {}
        self._deployment = Deployment(self._profile, folder, ports, self._via)
        self._wiped = set()
        self._down = set()
        self._client = HttpClient(TcpNetwork())
        self._accepted = 1
        self._harmed = []
        self._started_s = 0.0
        self.result = SoakResult()

    def _via(self, address):
        if address not in self._proxies:
            self._proxies[address] = Proxy(self._ports.take(), address)
        return self._proxies[address].listen

    async def run(self):
        """
        Start all, send under faults, heal, send again, check, end all.

        Returns
        -------
        SoakResult
        """
        deployment = self._deployment
        for address in self._addresses().values():
            self._via(address)
        async with trio.open_nursery() as nursery:
            for proxy in self._proxies.values():
                await nursery.start(proxy.run)
            try:
                await deployment.start()
                self._started_s = trio.current_time()
                count = round(self._seconds * _JOBS_A_SECOND)
                jobs = make_jobs(self._profile, count + _CALM_JOBS, self._rng)
                stormy = await self._send_under_faults(jobs[:count])
                await self._heal()
                calm = await self._send(jobs[count:])
                await self._check(stormy, calm)
            finally:
                deployment.processes.kill_all()
                nursery.cancel_scope.cancel()
        return self.result

    def _addresses(self):
        named = {entry.name: entry.callers for entry in self._deployment.entries}
        for backend in self._deployment.backends:
            named[backend.name] = backend.address
        return named

    async def _send_under_faults(self, jobs):
        entries = [entry.name for entry in self._deployment.entries]
        backends = [backend.name for backend in self._deployment.backends]
        agents = [f"agent-{name}" for name in backends]
        faults = draw_faults(self._rng, entries, agents, backends, self._seconds)
        engines = [b.name for b in self._deployment.backends if b.kind == "engine"]
        rng = Random(f"{self._seed} refusals")
        faults += draw_refusals(rng, engines, self._seconds)
        async with trio.open_nursery() as nursery:
            for at_s, fault in faults:
                nursery.start_soon(self._apply_at, at_s, fault)
            return await self._send(jobs)

    async def _send(self, jobs):
        known = [self._via(entry.callers) for entry in self._deployment.entries]
        callers = {
            account: Caller(
                self._profile.name, account, known, Random(f"{self._seed} {account}")
            )
            for account in self._profile.accounts
        }
        outcomes = []

        async def send(job):
            outcomes.append(await callers[job.account].send(job))

        async with trio.open_nursery() as nursery:
            for job in jobs:
                nursery.start_soon(send, job)
                await trio.sleep(1 / _JOBS_A_SECOND)
        return outcomes

    async def _apply_at(self, at_s, fault):
        await trio.sleep_until(self._started_s + at_s)
        begun_s = time()
        done = await self._apply(fault)
        if not isinstance(fault, Roll | TurnAway):
            self._harmed.append((fault.name, begun_s, time() + _RECOVERED_S))
        note = describe(fault) if done is None else f"{describe(fault)}: {done}"
        self.result.events.append(f"{at_s:6.2f} s  {note}")

    @singledispatchmethod
    async def _apply(self, fault):
        raise TypeError(f"{fault!r} is no fault")

    @_apply.register
    async def _(self, fault: Kill):
        if fault.name in self._down:
            return "left out, as it was down"
        self._down.add(fault.name)
        self._deployment.processes.kill(fault.name)
        replicas = {e.name for e in self._deployment.entries[:_REPLICAS]}
        # One lost folder is what three replicas bear, until it votes again.
        is_wiped = fault.is_wiped and fault.name in replicas and not self._wiped
        if is_wiped:
            self._wiped.add(fault.name)
            self._deployment.wipe(fault.name)
        await trio.sleep(fault.down_s)
        self._restart(fault.name)
        return "folder emptied" if is_wiped else None

    @_apply.register
    async def _(self, fault: Pause):
        if fault.name in self._down:
            return "left out, as it was down"
        self._down.add(fault.name)
        self._deployment.processes.pause(fault.name)
        await trio.sleep(fault.for_s)
        self._deployment.processes.resume(fault.name)
        self._down.discard(fault.name)
        return None

    @_apply.register
    async def _(self, fault: Term):
        if fault.name in self._down:
            return "left out, as it was down"
        self._down.add(fault.name)
        bad = await self._deployment.processes.stop([fault.name], _STOP_TIMEOUT_S)
        self._restart(fault.name)
        if bad:
            faults = [f"{fault.name}: no end with status 0"]
            self.result.points.append(Point("a planned stop ends in time", faults))
        return None

    def _restart(self, name):
        self._deployment.restart(name)
        self._down.discard(name)

    @_apply.register
    async def _(self, fault: TurnAway):
        await self._deployment.turn_away(fault.name, fault.for_s, fault.pause_s)

    def _proxy(self, name):
        return self._proxies[self._addresses()[name]]

    @_apply.register
    async def _(self, fault: Reset):
        self._proxy(fault.name).reset()

    @_apply.register
    async def _(self, fault: Cut):
        self._proxy(fault.name).silence(*fault.directions)
        await trio.sleep(fault.for_s)
        self._proxy(fault.name).restore()

    @_apply.register
    async def _(self, fault: Delay):
        self._proxy(fault.name).delay_s = fault.delay_s
        await trio.sleep(fault.for_s)
        self._proxy(fault.name).restore()

    @_apply.register
    async def _(self, fault: Roll):
        envelope = await self._deployment.sign_version(_NEXT_VERSION)
        for entry in self._deployment.entries:
            try:
                reply = await self._client.json(
                    "POST",
                    entry.operators,
                    "/operator/bundle",
                    envelope,
                    timeout_s=_ROLL_TIMEOUT_S,
                )
            except WireError:
                # Whether it was taken isn't known; the same roll goes to the next.
                continue
            if reply.status == _OK:
                self._accepted = _NEXT_VERSION
                return f"accepted by {entry.name}"
        return "accepted by nobody"

    async def _heal(self):
        for proxy in self._proxies.values():
            proxy.restore()
        ended = self._deployment.processes.ended()
        faults = [f"{name} ended by itself" for name in ended]
        self.result.points.append(Point("no process ends by itself", faults))
        await self._deployment.wait_until_ready()
        await trio.sleep(_CALM_AFTER_S)

    async def _check(self, stormy, calm):
        executions = await self._deployment.executions()
        self.result.points += [
            point
            for point in check_outcomes(stormy, executions)
            if not point.text.endswith(_UNPROMISED)
        ]
        self.result.points += [
            Point(f"after the faults: {point.text}", point.faults)
            for point in check_outcomes(calm, executions)
        ]
        self.result.points.append(await self._check_version())
        self.result.points.append(await self._check_pauses())

    async def _check_pauses(self):
        """Check pauses that no fault on the engine or its agent has touched."""
        faults = []
        for backend in self._deployment.backends:
            if backend.kind != "engine":
                continue
            told = await self._deployment.pauses(backend.name)
            check = ArrivalCheck()
            for at_s in told["arrivals"]:
                check.arrived(at_s)
            for at_s, pause_s in told["asked"]:
                if not self._is_harmed(backend.name, at_s, at_s + pause_s):
                    check.asked_pause(at_s, pause_s)
            faults += [f"{backend.name}: {fault}" for fault in check.faults()]
        return Point("an engine gets no more in a pause that it asked for", faults)

    def _is_harmed(self, backend, start_s, end_s):
        names = (backend, f"agent-{backend}")
        return any(
            name in names and begun_s < end_s and start_s < over_s
            for name, begun_s, over_s in self._harmed
        )

    async def _check_version(self):
        faults = []
        for entry in self._deployment.entries:
            status = await self._client.json(
                "GET", entry.operators, "/operator/status", timeout_s=_ROLL_TIMEOUT_S
            )
            version = status.payload["bundle"]["version"]
            if version < self._accepted:
                faults.append(f"{entry.name}: version {version}")
        return Point(f"version {self._accepted}, accepted, is in force", faults)
