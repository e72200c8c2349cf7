"""A gateway before scripted servers, on a network in memory."""

from contextlib import suppress
from random import Random

import trio
import trio.testing

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.retry import RetryLimit, ServiceRetryBudgets
from gooseberryyoke.routing import (
    ClientAccount,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    Split,
)
from gooseberryyoke_daemon.gateway import GatewayNode
from gooseberryyoke_daemon.gateway.call import ServerCalls
from gooseberryyoke_daemon.gateway.servers import Servers
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.testing.arrivals import ArrivalCheck
from gooseberryyoke_daemon.wire import (
    Address,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = [
    "RoutedSession",
    "ScriptedServer",
    "WholeShare",
    "run_routed",
    "sample_table",
    "sole_budgets",
]

NAMES = HeaderNames()
GATEWAY = Address("10.0.0.1", 80)
KEY = "deck-key"
_CONNECT_S = 0.5
_RETRY_RATIO = 0.16
_RETRY_SLACK = 3.0
_LIMIT_S = 3600
_REFUSALS = (429, 503)


def sample_table(version=1, **changes):
    """
    Make a table with one route of each kind.

    Parameters
    ----------
    version : int
    **changes
        Fields of all routes.

    Returns
    -------
    RouteTable
    """
    kinds = {
        "/read/": (RouteKind.IDEMPOTENT, 2),
        "/book/": (RouteKind.NON_IDEMPOTENT, 1),
        "/draw/": (RouteKind.STREAMING, 2),
    }
    routes = [
        Route(
            prefix.strip("/"),
            "h.example",
            prefix,
            kind,
            [Split("s", 1)],
            **{
                "timeout_s": 8.0 if kind is RouteKind.STREAMING else 1.2,
                "max_attempts": attempts,
                "is_resumable": kind is RouteKind.STREAMING,
                **changes,
            },
        )
        for prefix, (kind, attempts) in kinds.items()
    ]
    return RouteTable(
        version, routes, [RoutedService("s")], [ClientAccount("deck", [KEY])]
    )


class ScriptedServer:
    """
    A backend server that does what a test says.

    Parameters
    ----------
    id : str
    answer : async callable
        Takes the request, returns a Response.

    Attributes
    ----------
    requests : list of Request
        As they arrived.
    check : ArrivalCheck
        Of what its answers ask for.
    """

    def __init__(self, id, answer):
        self.id = id
        self.answer = answer
        self.requests = []
        self.check = ArrivalCheck()

    async def __call__(self, request):
        """Note the request and answer it."""
        self.requests.append(request)
        self.check.arrived(trio.current_time())
        response = await self.answer(request)
        self._note_asked(response)
        return response

    def _note_asked(self, response):
        now = trio.current_time()
        if response.status in _REFUSALS:
            with suppress(TypeError, ValueError):
                self.check.asked_pause(now, float(response.header("retry-after")))
        if response.header(NAMES.leaving[0]) == "1":
            self.check.left(now)


class _FixedTable:
    def __init__(self, table):
        self.table = table
        self.first_after_s = 0.0


class WholeShare:
    """
    Share of a gateway that has no others; see `RetryShare`.

    Parameters
    ----------
    slack : float
        Retries in each window.
    """

    gateways = 1

    def __init__(self, slack):
        self._slack = slack

    def retries(self, now):
        """Give the retries in each window that the share allows."""
        return self._slack


def sole_budgets():
    """
    Make the retry budgets of a gateway without others, with little to spare.

    Returns
    -------
    ServiceRetryBudgets
    """
    return ServiceRetryBudgets(RetryLimit(_RETRY_RATIO), WholeShare(_RETRY_SLACK))


class RoutedSession:
    """
    What a test of a gateway needs at hand.

    Attributes
    ----------
    network : MemoryNetwork
    node : GatewayNode
    servers : Servers
    calls : ServerCalls
        Over the connections that the gateway uses.
    watcher : object
        Its ``table`` may be replaced.
    """

    def __init__(self, nursery, table, held=None, names=NAMES):
        self.network = MemoryNetwork(latency_s=0.001)
        self.watcher = _FixedTable(table)
        rng = Random(1)
        self.servers = Servers("a", rng)
        client = HttpClient(
            self.network.host(GATEWAY.host),
            Limits(pool_connections=0),
            keeps_host=True,
            connect_timeout_s=_CONNECT_S,
        )
        self.calls = ServerCalls(client, names)
        self.node = GatewayNode(
            self.watcher, self.servers, client, names, rng, sole_budgets(), held=held
        )
        self.caller = HttpClient(self.network.host("10.9.0.1"), keeps_host=True)
        self._nursery = nursery
        self._count = 0

    async def start(self):
        """Start the gateway."""
        listeners = await self.network.host(GATEWAY.host).listen(GATEWAY)
        await self._nursery.start(self.node.run, listeners)

    async def add(self, id, answer, handler=None, limits=None, **changes):
        """
        Start a server and announce it.

        Parameters
        ----------
        id : str
        answer : async callable
            See `ScriptedServer`.
        handler : async callable, optional
            Serves raw streams instead, for servers that break the protocol.
        limits : Limits, optional
            Of the server, towards the gateway.
        **changes
            Fields of the `ServerEntry`.

        Returns
        -------
        ScriptedServer
        """
        self._count += 1
        address = Address(f"10.1.0.{self._count}", 80)
        server = ScriptedServer(id, answer)
        if handler is None:
            await self.serve(server, address, limits)
        else:
            listeners = await self.network.host(address.host).listen(address)
            self._nursery.start_soon(trio.serve_listeners, handler, listeners)
        self.announce(id, address, **changes)
        return server

    async def serve(self, server, address, limits=None):
        """
        Let a server be reached at an address, beside those that it has.

        Parameters
        ----------
        server : ScriptedServer
        address : Address
        limits : Limits, optional
            Of the server, towards the gateway.
        """
        listeners = await self.network.host(address.host).listen(address)
        await self._nursery.start(HttpServer(server, limits).run, listeners)

    def announce(self, id, address, sequence=1, born_ms=1, **changes):
        """
        Let the gateway know of a server.

        Parameters
        ----------
        id : str
        address : Address
        sequence, born_ms : int
        **changes
            More fields of the `ServerEntry`.
        """
        fields = {
            "service": "s",
            "data_centre": "a",
            "slots": 6,
            "state": ServerState.READY,
            **changes,
        }
        self.servers.take(
            [ServerEntry(id, born_ms, sequence, address=str(address), **fields)]
        )

    def request(self, path, attempt="a1", key=KEY, deadline_ms=8000, headers=()):
        """
        Make a caller's request.

        Parameters
        ----------
        path, attempt, key : str
        deadline_ms : int
        headers : iterable of (str, str)
            More headers.

        Returns
        -------
        Request
        """
        fixed = [
            ("host", "h.example"),
            (NAMES.attempt_id, attempt),
            (NAMES.deadline_ms, str(deadline_ms)),
        ]
        if key is not None:
            fixed.append(("authorization", f"Bearer {key}"))
        return Request("POST", path, [*fixed, *headers], b"body")

    async def ask(self, path, **fields):
        """
        Send a request and read its answer whole.

        Parameters
        ----------
        path : str
        **fields
            As of `request`.

        Returns
        -------
        Response
        """
        request = self.request(path, **fields)
        async with self.caller.open(GATEWAY, request) as reply:
            body = await reply.read()
            return Response(reply.status, reply.headers, body)

    async def ask_often(self, path, rate, for_s, name="a", may_cut=False, **fields):
        """
        Send requests at a rate.

        Parameters
        ----------
        path : str
        rate, for_s : float
            Requests a second, and for how many seconds.
        name : str
            Begins the ids of the attempts.
        may_cut : bool
            Answers that are cut are left out; else the first one is raised.
        **fields
            As of `request`.

        Returns
        -------
        list of Response

        Raises
        ------
        ExchangeBroken
        """
        replies = []

        async def ask(number):
            with suppress(*([ExchangeBroken] if may_cut else [])):
                attempt = f"{name}{number}"
                replies.append(await self.ask(path, attempt=attempt, **fields))

        async with trio.open_nursery() as nursery:
            for number in range(round(rate * for_s)):
                nursery.start_soon(ask, number)
                await trio.sleep(1 / rate)
        return replies


def run_routed(main, table=None, held=None, names=NAMES):
    """
    Run a test against a gateway, on a clock that jumps.

    Parameters
    ----------
    main : async callable
        Takes the `RoutedSession`.
    table : RouteTable, optional
    held : HeldBytes, optional
        Of the gateway.
    names : HeaderNames
        Of the gateway.
    """

    async def body():
        with trio.fail_after(_LIMIT_S):
            async with trio.open_nursery() as nursery:
                session = RoutedSession(nursery, table or sample_table(), held, names)
                await session.start()
                await main(session)
                nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
