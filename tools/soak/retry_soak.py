"""One run: a small and a busy service fail while gateways die in series."""

from contextlib import suppress
from functools import partial
from random import Random

import trio

from examples.demonstration.report import Point
from gooseberryyoke.retry import RetryLimit, RetryLimitCheck
from gooseberryyoke_daemon.wire import Response, WireError
from gooseberryyoke_platform.names import HEADERS
from tools.soak.document import make_document
from tools.soak.engine import Engine
from tools.soak.faults import Kill, Pause
from tools.soak.routed_deployment import RoutedDeployment
from tools.soak.routed_soak import RoutedSoak

__all__ = ["RetrySoak"]

_RATES = {"small": 15, "busy": 60}
"""Requests a second, by service."""
_ATTEMPTS = 3
_LIMIT = RetryLimit(slack=12.0)
"""So few that three gateways can exceed it at the rates of this process."""
_DEADLINE_MS = 2000
_CALL_S = 4.0
_CALM_REQUESTS = 60
_FAILED_PARTS = {"small": 1.0, "busy": 0.02}
"""Of the requests, by service."""
_FAILING_S = (1.0, 6.0)
_BETWEEN_KILLS_S = ((0.3, 2.0), (2.0, 8.0), (8.0, 20.0))
"""One of them for each seed: shares are held only while gateways live for a while."""
_DOWN_S = (0.05, 1.5)
_CONTROL_FAULTS_A_SECOND = 0.2
_LONGEST_OUT_S = 3.0
_ERROR = 500
_OK = 200


class _FailingEngine(Engine):
    """Answers a part of the requests with an error, while it is told to."""

    def __init__(self, id, zone, address, rng):
        super().__init__(id, zone, address, rng)
        self.service = "small" if id.endswith("0") else "busy"
        self.failed_part = 0.0
        self.arrived = []

    async def serve(self, request):
        """Note a request and answer it."""
        attempt_id = request.header(HEADERS.attempt_id)
        self.arrived.append((attempt_id, trio.current_time()))
        is_failed = self._rng.random() < self.failed_part
        response = await super().serve(request)
        return Response(_ERROR, [], b"") if is_failed else response


class RetrySoak(RoutedSoak):
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of the faults and requests.
    seconds : float
        For which faults come.
    gateways : int

    Attributes
    ----------
    retries : int
        That reached engines, once the run is over.
    """

    def __init__(self, folder, seed, seconds, gateways=3):
        super().__init__(folder, seed, seconds, Random(f"{seed} retries"))
        self.retries = 0
        self._gateways = gateways
        self._between_kills_s = self._rng.choice(_BETWEEN_KILLS_S)
        self._requests_s = {service: [] for service in _RATES}

    def _make_deployment(self):
        return RoutedDeployment(
            self._folder,
            self._seed,
            _FailingEngine,
            make_document(list(_RATES), _ATTEMPTS),
            self._gateways,
            _LIMIT,
        )

    def _goes_on(self):
        return trio.current_time() < self._started_s + self._seconds

    async def _storm(self):
        async with trio.open_nursery() as nursery:
            for service, rate in _RATES.items():
                count = round(rate * self._seconds)
                nursery.start_soon(self._send, service, count, [])
                nursery.start_soon(self._fail_at_times, service)
            nursery.start_soon(self._kill_in_series)
            for _ in range(round(self._seconds * _CONTROL_FAULTS_A_SECOND)):
                at_s = self._rng.uniform(0, self._seconds)
                nursery.start_soon(self._apply_at, at_s, self._draw_control_fault())

    async def _fail_at_times(self, service):
        engines = [e for e in self._deployment.engines if e.service == service]
        while self._goes_on():
            self._set_failing(engines, _FAILED_PARTS[service])
            await trio.sleep(self._rng.uniform(*_FAILING_S))
            self._set_failing(engines, 0.0)
            await trio.sleep(self._rng.uniform(0.0, 1.0))

    def _set_failing(self, engines, part):
        for engine in engines:
            engine.failed_part = part

    async def _kill_in_series(self):
        """Kill any number of gateways, again while others are still starting."""
        async with trio.open_nursery() as nursery:
            while self._goes_on():
                gateways = self._deployment.gateways
                count = self._rng.randint(1, len(gateways))
                for name in self._rng.sample(gateways, count):
                    fault = Kill(name, round(self._rng.uniform(*_DOWN_S), 2))
                    nursery.start_soon(self._process_faults.apply, fault)
                await trio.sleep(self._rng.uniform(*self._between_kills_s))

    def _draw_control_fault(self):
        name = self._rng.choice(self._deployment.controls)
        for_s = round(self._rng.uniform(0.3, _LONGEST_OUT_S), 2)
        return self._rng.choice((Kill(name, for_s), Pause(name, for_s)))

    async def _send(self, service, count, statuses):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._ask, service, statuses)
                await trio.sleep(1 / _RATES[service])

    async def _ask(self, service, statuses):
        self._requests_s[service].append(trio.current_time())
        status = None
        with trio.move_on_after(_CALL_S), suppress(WireError):
            call = partial(self._deployment.call, f"/{service}/x")
            status, _ = await call(_DEADLINE_MS, [])
        statuses.append(status)

    async def _calm(self):
        """Send to engines that answer all, once every gateway is back."""
        self._set_failing(self._deployment.engines, 0.0)
        await self._deployment.wait_until_ready()
        statuses = []
        await self._send("busy", _CALM_REQUESTS, statuses)
        faults = [f"status {status}" for status in statuses if status != _OK]
        self.result.points.append(
            Point("after the faults: requests are answered", faults)
        )

    def _check(self):
        for service in _RATES:
            check = RetryLimitCheck(_LIMIT)
            for at_s in self._requests_s[service]:
                check.record_request(at_s)
            for attempt_id, at_s in sorted(self._arrivals(service), key=_time):
                check.record_arrival(attempt_id, at_s)
            self.retries += check.retries
            requests = len(self._requests_s[service])
            self._note(f"{service}: {check.retries} retries for {requests} requests")
            self.result.points.append(
                Point(f"retries at {service} are within the limit", check.violations())
            )

    def _arrivals(self, service):
        for engine in self._deployment.engines:
            if engine.service == service:
                yield from engine.arrived


def _time(arrival):
    return arrival[1]
