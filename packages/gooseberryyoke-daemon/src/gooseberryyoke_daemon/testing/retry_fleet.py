"""Gateways before two services, one of which fails, on a network in memory."""

from contextlib import suppress
from random import Random

import trio
from returns.result import Success

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.retry import RetryLimit, RetryLimitCheck
from gooseberryyoke.routing import (
    ClientAccount,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    Split,
)
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.routed import KEY, NAMES
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Request,
    Response,
    WireError,
)

__all__ = ["BUSY", "SMALL", "RetryFleet", "run_retry_fleet"]

SMALL = "small"
BUSY = "busy"
_SERVERS = 3
"""Of each service."""
_ATTEMPTS = 3
_TIMEOUT_S = 1.2
_WORK_S = 0.01
_ANNOUNCE_S = 1.0
_START_S = 10.0
_ALL_TOLD_S = 3.0
"""Until each gateway has been told of all others."""


class RetryFleet:
    """
    Gateways and control processes, and the servers of two services.

    Parameters
    ----------
    deployment : ControlDeployment
    nursery : trio.Nursery
    gateways : int
    limit : RetryLimit
    seed : int

    Attributes
    ----------
    failing : set of str
        Services whose servers answer 500.
    checks : dict of str to RetryLimitCheck
        By service.
    running : dict of int to Gateway
    """

    def __init__(self, deployment, nursery, gateways, limit, seed):
        self.failing = set()
        self.running = {}
        self.checks = {service: RetryLimitCheck(limit) for service in (SMALL, BUSY)}
        self._limit = limit
        self._deployment = deployment
        self._nursery = nursery
        self._count = gateways
        self._rng = Random(seed)
        self._asked = 0

    async def start(self):
        """Start all, and wait until every gateway knows the others."""
        await self._deployment.found()
        await self._deployment.running[1].store.put(1, b"1")
        for number in range(1, 2 * _SERVERS + 1):
            await self._start_server(number)
        for number in range(self._count):
            self.start_gateway(number)
        with trio.fail_after(_START_S):
            while not all(g.node.is_open for g in self.running.values()):
                await trio.sleep(0.05)
        await trio.sleep(_ALL_TOLD_S)

    async def _start_server(self, number):
        service = SMALL if number <= _SERVERS else BUSY
        address = Address(f"10.1.0.{number}", 80)
        listeners = await self._deployment.network.host(address.host).listen(address)

        async def answer(request):
            attempt_id = request.header(NAMES.attempt_id)
            self.checks[service].record_arrival(attempt_id, trio.current_time())
            await trio.sleep(_WORK_S)
            status = 500 if service in self.failing else 200
            return Response(status, [(NAMES.attempt_id, attempt_id)], b"done")

        await self._nursery.start(HttpServer(answer).run, listeners)
        self._nursery.start_soon(self._announce, number, service, address)

    async def _announce(self, number, service, address):
        sequence = 0
        while True:
            sequence += 1
            fields = (sequence, service, str(address), "a", 50, ServerState.READY)
            entry = ServerEntry(f"s{number}", 1, *fields)
            for control in self._deployment.running.values():
                control.node.announce(entry)
            await trio.sleep(_ANNOUNCE_S)

    def start_gateway(self, number):
        """Start a gateway that remembers nothing."""
        self.running[number] = self._deployment.start_gateway(
            number, _decode, self._limit
        )

    async def restart_gateways(self, numbers, down_s=0.2):
        """
        Kill gateways, and start them again.

        Parameters
        ----------
        numbers : iterable of int
        down_s : float
        """
        numbers = list(numbers)
        for number in numbers:
            del self.running[number]
            self._deployment.kill_gateway(number)
        await trio.sleep(down_s)
        for number in numbers:
            self.start_gateway(number)

    def cut_off(self, number):
        """Cut a gateway off from all control processes."""
        for control in self._deployment.running:
            self._deployment.network.cut(f"10.7.0.{number}", f"10.0.0.{control}")

    async def ask(self, service):
        """
        Send a request to any gateway, one that is down included.

        Parameters
        ----------
        service : str
        """
        self._asked += 1
        headers = [
            ("host", "h.example"),
            (NAMES.attempt_id, f"a{self._asked}"),
            (NAMES.deadline_ms, "2000"),
            ("authorization", f"Bearer {KEY}"),
        ]
        req = Request("POST", f"/{service}/x", headers, b"body")
        number = self._rng.randrange(self._count)
        caller = HttpClient(self._deployment.network.host("10.9.0.1"), keeps_host=True)
        self.checks[service].record_request(trio.current_time())
        with suppress(WireError):
            async with caller.open(Address(f"10.7.0.{number}", 80), req) as reply:
                await reply.read()

    async def ask_often(self, service, rate, for_s):
        """
        Send requests at a rate.

        Parameters
        ----------
        service : str
        rate, for_s : float
            Requests a second, and for how many seconds.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(round(rate * for_s)):
                nursery.start_soon(self.ask, service)
                await trio.sleep(1 / rate)


def _route(service):
    return Route(
        service,
        "h.example",
        f"/{service}/",
        RouteKind.IDEMPOTENT,
        [Split(service, 1)],
        timeout_s=_TIMEOUT_S,
        max_attempts=_ATTEMPTS,
    )


def _decode(text):
    services = (SMALL, BUSY)
    routes = [_route(service) for service in services]
    accounts = [ClientAccount("deck", [KEY])]
    routed = [RoutedService(service) for service in services]
    return Success(RouteTable(int(text), routes, routed, accounts))


def run_retry_fleet(main, gateways=4, slack=20, seed=0):
    """
    Run a test on a fleet whose gateways know each other, on a clock that jumps.

    Parameters
    ----------
    main : async callable
        Takes the `RetryFleet`.
    gateways : int
    slack : float
        See `RetryLimit`.
    seed : int
    """

    async def body(deployment):
        async with trio.open_nursery() as nursery:
            limit = RetryLimit(slack=slack)
            fleet = RetryFleet(deployment, nursery, gateways, limit, seed)
            await fleet.start()
            await main(fleet)
            nursery.cancel_scope.cancel()

    run_controls(body, seed)
