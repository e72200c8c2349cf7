"""Compares ways of keeping to the pauses that servers ask for, at several gateways."""

from collections import Counter
from random import Random

import click
import trio
import trio.testing

from gooseberryyoke.membership.server_registry import (
    RankPlace,
    ServerEntry,
    ServerState,
)
from gooseberryyoke.record import Record
from gooseberryyoke.retry import RetryDecision, RetryLimit, ServiceRetryBudgets
from gooseberryyoke_daemon.gateway import GatewayNode
from gooseberryyoke_daemon.gateway.servers import Servers
from gooseberryyoke_daemon.testing.arrivals import ArrivalCheck
from gooseberryyoke_daemon.testing.routed import KEY, NAMES, WholeShare, sample_table
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Limits,
    Request,
    Response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["Result", "WAYS", "measure"]

_SERVERS = 16
_SLOTS = 6
_GROUPS = 2
_RATE = 48
"""Requests a second: with streams of 1.4 s, 70 % of the places of all servers."""
_STREAM_EVENTS = 14
_EVENT_S = 0.1
_FOR_S = 12.0
_SICK_FROM_S = 2.0
_SICK_UNTIL_S = 10.0
_PAUSE_S = 3.0
_TELL_S = 0.1
_BUDGET_RATIO = 0.16
_BUDGET_SHARE = 20.0
_EVENTS = ("content-type", "text/event-stream")
_NOT_RUN = (NAMES.not_run, "1")
_OK = 200
_CASES = ((4, 5, 1.0), (4, 5, 0.5), (16, 5, 1.0), (4, 16, 0.5))
"""Gateways, sick servers, and the part of requests that these turn away."""


class FreeOfCharge(ServiceRetryBudgets):
    """Does not spend the budget for requests that have not run."""

    def may_retry(self, service, verdict, repeatable, deadline_s, predicted_s, now):
        """See `ServiceRetryBudgets.may_retry`."""
        if verdict.value == "not-run" and now <= deadline_s:
            return RetryDecision.RETRY
        return super().may_retry(
            service, verdict, repeatable, deadline_s, predicted_s, now
        )


class Way(Record):
    """
    A way of keeping to pauses.

    Parameters
    ----------
    told : str
        What gateways do with each other's pauses: ``nothing``, ``hint`` (such servers
        come last), or ``keep`` (as their own).
    budgets : type
        Of further attempts.
    """

    __slots__ = ("told", "budgets")

    def __init__(self, told, budgets):
        self.told = told
        self.budgets = budgets


WAYS = {
    "not told": Way("nothing", ServiceRetryBudgets),
    "hinted": Way("hint", ServiceRetryBudgets),
    "kept by all": Way("keep", ServiceRetryBudgets),
    "hinted, free": Way("hint", FreeOfCharge),
}


class Result(Record):
    """
    What came of a run.

    Parameters
    ----------
    statuses : Counter
        Of the answers to callers.
    turned_away : int
        Requests that servers refused.
    beyond_first : int
        Arrivals at servers beyond the first of each request.
    faults : list of str
        Pauses that were not kept.
    """

    __slots__ = ("statuses", "turned_away", "beyond_first", "faults")

    def __init__(self, statuses, turned_away, beyond_first, faults):
        self.statuses = statuses
        self.turned_away = turned_away
        self.beyond_first = beyond_first
        self.faults = faults


class _Server:
    def __init__(self, number, is_sick, refused, rng):
        self.check = ArrivalCheck()
        self.entry = ServerEntry(
            f"s{number}",
            1,
            1,
            "s",
            f"10.1.0.{number + 1}:80",
            "a",
            _SLOTS,
            ServerState.READY,
            RankPlace(f"g{number % _GROUPS}", 1, number // _GROUPS, 8, True),
        )
        self.turned_away = 0
        self._is_sick = is_sick
        self._refused = refused
        self._rng = rng

    async def __call__(self, request):
        now, sender = trio.current_time(), request.header("x-sender", "")
        self.check.arrived(now, sender)
        is_sick = self._is_sick and _SICK_FROM_S <= now < _SICK_UNTIL_S
        if is_sick and self._rng.random() < self._refused:
            self.turned_away += 1
            self.check.asked_pause(now, _PAUSE_S, sender)
            return Response(503, [_NOT_RUN, ("retry-after", str(_PAUSE_S))], b"")
        return Response(_OK, [_EVENTS], self._stream())

    async def _stream(self):
        for number in range(1, _STREAM_EVENTS + 1):
            await trio.sleep(_EVENT_S)
            yield b"id: %d\ndata: x\n\n" % number


class _Table:
    def __init__(self):
        self.table = sample_table()
        self.first_after_s = 0.0


class _Gateway:
    def __init__(self, network, number, servers, way, rng):
        self.address = Address(f"10.0.0.{number + 1}", 80)
        self.name = f"g{number}"
        self.servers = Servers("a", rng, self.name)
        client = HttpClient(
            network.host(self.address.host), Limits(pool_connections=0), keeps_host=True
        )
        limit = RetryLimit(_BUDGET_RATIO)
        budgets = way.budgets(limit, WholeShare(_BUDGET_SHARE))
        self.node = GatewayNode(_Table(), self.servers, client, NAMES, rng, budgets)
        self.servers.take([server.entry for server in servers])
        self.by_id = {s.entry.id: s for s in self.servers.of_service("s")}


def measure(way, gateways, sick, refused, seed=1, for_s=_FOR_S):
    """
    Play a load on gateways and servers in memory, some of which ask for pauses.

    Parameters
    ----------
    way : Way
    gateways, sick : int
        How many gateways, and of how many servers to turn requests away.
    refused : float
        Part of the requests that these turn away.
    seed : int
    for_s : float
        Length of the load in seconds; servers are sick from 2 s to 10 s.

    Returns
    -------
    Result
    """
    return trio.run(
        _play,
        way,
        gateways,
        sick,
        refused,
        Random(seed),
        for_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def _play(way, gateways, sick, refused, rng, for_s):
    network = MemoryNetwork(latency_s=0.001)
    servers = [_Server(n, n < sick, refused, rng) for n in range(_SERVERS)]
    statuses = Counter()
    async with trio.open_nursery() as nursery:
        for server in servers:
            address = Address.parse(server.entry.address)
            listeners = await network.host(address.host).listen(address)
            await nursery.start(HttpServer(server).run, listeners)
        nodes = [_Gateway(network, n, servers, way, rng) for n in range(gateways)]
        for gateway in nodes:
            listeners = await network.host(gateway.address.host).listen(gateway.address)
            await nursery.start(gateway.node.run, listeners)
            gateway.servers.peers.expect(gateways - 1)
        nursery.start_soon(_share, nodes, way)
        await _send(network, nodes, statuses, rng, for_s)
        nursery.cancel_scope.cancel()
    arrivals = sum(len(server.check.arrivals) for server in servers)
    return Result(
        statuses,
        sum(server.turned_away for server in servers),
        arrivals - round(_RATE * for_s),
        [fault for server in servers for fault in server.check.faults()],
    )


async def _share(nodes, way):
    """Tell each gateway the others' requests, and their pauses if the way has it."""
    while True:
        await trio.sleep(_TELL_S)
        now = trio.current_time()
        for teller in nodes:
            for hearer in nodes:
                if hearer is teller:
                    continue
                counts = teller.servers.peers.own_counts()
                hearer.servers.peers.take_shares(teller.name, counts, is_all=True)
                _tell_pauses(teller, hearer, way, now)


def _tell_pauses(teller, hearer, way, now):
    if way.told == "nothing":
        return
    for id, end_s in teller.servers.peers.own_backoffs().items():
        left_s = end_s - now
        if way.told == "hint":
            hearer.servers.peers.take_backoffs({id: round(1000 * left_s)})
        elif hearer.by_id[id].backoff.until_s < end_s:
            hearer.by_id[id].backoff.requested(left_s, now)


async def _send(network, nodes, statuses, rng, for_s):
    caller = HttpClient(network.host("10.9.0.1"), keeps_host=True)

    async def ask(number):
        gateway = rng.choice(nodes)
        request = Request(
            "POST",
            "/draw/x",
            [
                ("host", "h.example"),
                ("authorization", f"Bearer {KEY}"),
                ("x-sender", gateway.name),
                (NAMES.attempt_id, f"a{number}"),
                (NAMES.deadline_ms, "8000"),
            ],
            b"body",
        )
        async with caller.open(gateway.address, request) as reply:
            await reply.read()
            statuses[reply.status] += 1

    async with trio.open_nursery() as nursery:
        for number in range(round(_RATE * for_s)):
            nursery.start_soon(ask, number)
            await trio.sleep(1 / _RATE)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the load.")
def main(seed):
    """Print, for each way and case, what callers and servers got."""
    print(
        "way            gateways  sick  refused  served  503  turned away  beyond first"
    )
    for gateways, sick, refused in (
        (4, 5, 1.0),
        (4, 5, 0.5),
        (16, 5, 1.0),
        (4, 16, 0.5),
    ):
        for name, way in WAYS.items():
            result = measure(way, gateways, sick, refused, seed)
            row = (name, gateways, sick, refused, result.statuses[_OK])
            rest = (result.statuses[503], result.turned_away, result.beyond_first)
            print("{:15}{:8}{:6}{:9}{:8}{:5}{:13}{:14}".format(*row, *rest))
            for fault in result.faults:
                print(f"    not kept: {fault}")


if __name__ == "__main__":
    main()
