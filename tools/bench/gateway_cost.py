"""Processor time of one gateway of 47 before 72 engines, in memory."""

import cProfile
import json
import pstats
import re
from hashlib import sha256
from io import StringIO
from random import Random
from time import process_time

import click
import orjson
import trio
import trio.testing
from returns.result import Success

from gooseberryyoke.retry import RetryLimit
from gooseberryyoke.routing import (
    ClientAccount,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    Split,
)
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.logs import configure_logs
from gooseberryyoke_daemon.paths import FOLLOW_PATH
from gooseberryyoke_daemon.routed.gateway import Gateway
from gooseberryyoke_daemon.routed_settings import GatewaySettings, NodeSettings
from gooseberryyoke_daemon.tables.store import StoredTable
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.memory import MemoryNetwork
from tools.bench.gateway_traffic import (
    GATEWAYS,
    SERVICE,
    presence,
    record,
    seeded_scheduler,
    server_entries,
)

__all__ = ["LOADS", "GatewayRun", "bench_table", "main"]

LOADS = ("idle", "datagrams", "normal", "waiting")
"""Follow calls alone; with datagrams; with requests too; with requests that wait."""
_CONTROLS = 9
_RANKS = 2
"""Processes beside engines that follow this gateway."""
_NORMAL_RATE, _WAITING_RATE = 3.0, 9.0
"""Requests a second."""
_EVENTS, _GAP_S = 20, 0.085
_PATIENCE_MS = 8000
_SETTLE_S = 3.0
_KEY = "bench-key"
_DIGEST = "bench"
_ROUTES = 3
_READ_BYTES = 65536
_SHOWN = 60
_HELD = re.compile(rb'"wait_ms":(\d+)')
_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def bench_table():
    """Make a table with three routes of one service, which differ in urgency."""
    routes = [
        Route(
            f"route-{level}",
            "h.example",
            f"/r{level}/",
            RouteKind.STREAMING,
            [Split(SERVICE, 1)],
            8.0,
            target_s=1.0,
            target_gap_s=0.12,
            priority=level,
            max_attempts=2,
            is_resumable=True,
        )
        for level in range(_ROUTES)
    ]
    account = ClientAccount("bench", [_KEY])
    return RouteTable(1, routes, [RoutedService(SERVICE)], [account])


class GatewayRun:
    """
    One gateway, and scripted processes around it that cost little themselves.

    Parameters
    ----------
    number : int
        Of the gateway; the first two of each data centre pass news on.
    load : str
        One of `LOADS`.
    contended_from : float
        Gateways from which on free slots are shared.
    traffic : Traffic or None
    seed : int
    rate : float, optional
        Requests a second instead of those of the load.

    Attributes
    ----------
    answered : int
        Requests with a whole answer.
    refused : int
    digest : object
        Of all that reached engines, and when.
    cpu_ms_per_s : float
        Of the whole process, scripts included, for each second of the load.
    """

    def __init__(self, number, load, contended_from, traffic, seed, rate=None):
        self._presence = presence(number)
        self._number = number
        self._traffic = traffic
        self._rng = Random(seed)
        self._rate = {"normal": _NORMAL_RATE, "waiting": _WAITING_RATE}.get(load, 0.0)
        if rate is not None:
            self._rate = rate
        self._network = MemoryNetwork(latency_s=0.001)
        self._contended_from = contended_from
        self.answered = 0
        self.refused = 0
        self.cpu_ms_per_s = 0.0
        self.digest = sha256()

    async def run(self, duration_s, profile=None):
        """Load the gateway for some seconds on trio's clock."""
        async with trio.open_nursery() as nursery:
            await self._start_scripts(nursery)
            gateway = self.gateway()
            await nursery.start(gateway.run)
            for number in range(_RANKS):
                nursery.start_soon(self._follow, f"10.8.0.{number}")
            await trio.sleep(_SETTLE_S)
            nursery.start_soon(self._deliver)
            nursery.start_soon(self._call_often, nursery)
            await trio.sleep(_SETTLE_S)
            start_s = process_time()
            if profile is not None:
                profile.enable()
            await trio.sleep(duration_s)
            if profile is not None:
                profile.disable()
            self.cpu_ms_per_s = (process_time() - start_s) / duration_s * 1000
            nursery.cancel_scope.cancel()

    def gateway(self):
        """Make the gateway without running it."""
        own = self._presence
        controls = tuple(f"10.0.0.{number}:70" for number in range(_CONTROLS))
        node = NodeSettings(
            own.name, own.data_centre, Address.parse(own.internal), controls
        )
        callers = Address.parse(own.address)
        table = bench_table()
        gateway = Gateway(
            GatewaySettings(node, callers, RetryLimit(), self._contended_from),
            lambda text: Success(table),
            HeaderNames(),
            self._network.host(callers.host),
            Random(1),
        )
        gateway.store.held = StoredTable(1, "{}", _DIGEST)
        return gateway

    async def _start_scripts(self, nursery):
        for number in range(_CONTROLS):
            await self._listen(nursery, f"10.0.0.{number}:70", self._answer_follower)
        for entry in server_entries():
            await self._listen(nursery, entry.address, self._answer_request)

    async def _listen(self, nursery, address, handler):
        address = Address.parse(address)
        listeners = await self._network.host(address.host).listen(address)
        nursery.start_soon(trio.serve_listeners, handler, listeners)

    async def _answer_follower(self, stream):
        view = {
            "entries": [presence(number).as_list() for number in range(GATEWAYS)],
            "heard": [],
            "seats": {},
            "controls": [f"10.0.0.{number}:70" for number in range(_CONTROLS)],
        }
        life, known = "1", {"servers": [], "cold": {}, "view": None}
        new = {
            "servers": [entry.to_json() for entry in server_entries()],
            "cold": {},
            "view": view,
        }
        while True:
            request = await _read_message(stream)
            if not request:
                return
            wait_s = int(_HELD.search(request)[1]) / 1000
            await trio.sleep(wait_s)
            same = {
                "life": life,
                "count": 72,
                "digest": "d",
                "table": [1, _DIGEST, 100],
                "evacuation": [0, {}, 100],
                "held_ms": round(1000 * wait_s),
            }
            is_first = b'"life":""' in request
            body = orjson.dumps({**same, **(new if is_first else known)})
            head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            await stream.send_all(
                head + b"content-length: %d\r\n\r\n" % len(body) + body
            )

    async def _answer_request(self, stream):
        request = await _read_message(stream)
        self.digest.update(f"{trio.current_time():.6f} ".encode() + request)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for number in range(_EVENTS):
            await trio.sleep(_GAP_S)
            event = b'id: %d\ndata: {"text":"some words of it"}\n\n' % number
            await stream.send_all(b"%x\r\n%s\r\n" % (len(event), event))
        await stream.send_all(b"0\r\n\r\n")
        await stream.aclose()

    async def _follow(self, host):
        stream = await self._network.host(host).connect(
            Address.parse(self._presence.internal)
        )
        seen = {"life": "", "since": 0, "view": "", "table": 1, "evacuation": 0}
        wait_ms = 0
        while True:
            body = orjson.dumps({**seen, "wait_ms": wait_ms})
            head = f"POST {FOLLOW_PATH} HTTP/1.1\r\nhost: x\r\n".encode()
            await stream.send_all(
                head + b"content-length: %d\r\n\r\n" % len(body) + body
            )
            reply = orjson.loads(
                (await _read_message(stream)).partition(b"\r\n\r\n")[2]
            )
            seen.update(life=reply["life"], since=reply["count"], view=reply["digest"])
            wait_ms = 800

    async def _deliver(self):
        if self._traffic is None:
            return
        end = self._network.endpoints[Address.parse(self._presence.internal)]
        start_s = trio.current_time()
        while True:
            for after_s, data in self._traffic.received:
                await trio.sleep_until(start_s + after_s)
                end.deliver(data)
            start_s += self._traffic.duration_s

    async def _call_often(self, nursery):
        number = 0
        while self._rate:
            nursery.start_soon(self._call, number)
            number += 1
            await trio.sleep(self._rng.expovariate(self._rate))

    async def _call(self, number):
        stream = await self._network.host("10.9.0.1").connect(
            Address.parse(self._presence.address)
        )
        names = HeaderNames()
        body = b'{"prompt":"some words"}'
        await stream.send_all(
            f"POST /r{self._rng.randrange(_ROUTES)}/x HTTP/1.1\r\nhost: h.example\r\n"
            f"authorization: Bearer {_KEY}\r\n{names.attempt_id}: a{number}\r\n"
            f"{names.deadline_ms}: {_PATIENCE_MS}\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            part = await stream.receive_some(_READ_BYTES)
            data = data[-5:] + part
            if not part or part.startswith(b"HTTP/1.1 503"):
                self.refused += 1
                break
        else:
            self.answered += 1
        await stream.aclose()


async def _read_message(stream):
    data = b""
    while (end := data.find(b"\r\n\r\n")) < 0:
        part = await stream.receive_some(_READ_BYTES)
        if not part:
            return b""
        data += part
    length = int(_LENGTH.search(data)[1])
    while len(data) < end + 4 + length:
        data += await stream.receive_some(_READ_BYTES)
    return data


def _run_load(number, load, contended_from, traffic, seed, duration_s, profile=None):
    run = GatewayRun(number, load, contended_from, traffic, seed)
    with seeded_scheduler(seed):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run.run, duration_s, profile, clock=clock)
    return run


def _traffic(number, load, duration_s, seed):
    if load == "idle":
        return None
    return record(number, load == "waiting", duration_s, seed)


@click.command(help=__doc__)
@click.option("--load", "loads", multiple=True, type=click.Choice(LOADS))
@click.option("--number", default=10, show_default=True, help="Of the gateway.")
@click.option("--contended-from", default=float("inf"), show_default=True)
@click.option("--duration-s", default=10.0, show_default=True)
@click.option("--runs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--profile", "shown", type=click.Choice(["tottime", "cumtime"]))
def main(loads, number, contended_from, duration_s, runs, seed, shown):
    """Print the least processor time of several runs for each load."""
    configure_logs(stream=StringIO())
    for load in loads or LOADS:
        traffic = _traffic(number, load, duration_s, seed)
        case = number, load, contended_from, traffic, seed, duration_s
        if shown:
            profile = cProfile.Profile()
            _run_load(*case, profile)
            pstats.Stats(profile).sort_stats(shown).print_stats(_SHOWN)
            continue
        done = [_run_load(*case) for _ in range(runs)]
        costs = [round(run.cpu_ms_per_s, 1) for run in done]
        figures = {
            "load": load,
            "cpu_ms_per_s": min(costs),
            "runs": costs,
            "answered": done[0].answered,
            "refused": done[0].refused,
            "digest": done[0].digest.hexdigest()[:12],
            "datagrams_per_s": 0 if traffic is None else traffic.per_s,
        }
        click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
