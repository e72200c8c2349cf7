"""Processor time for each request, each streamed token, each claimed call."""

import json
import os
import platform
import tempfile
from pathlib import Path

import click
import orjson
import trio

from examples.demonstration.ports import Ports
from examples.demonstration.processes import ROOT
from gooseberryyoke_daemon.wire import Address, HttpClient, Request, TcpNetwork
from tools.bench.capacity_deployment import CapacityDeployment
from tools.bench.capacity_fit import fit_line
from tools.bench.capacity_usage import read_usage, usage_rate

__all__ = ["main"]

FIGURES = ROOT / "docs" / "figures" / "capacity-requests.json"

_SETTLE_S = 4.0
_STOP_TIMEOUT_S = 30.0
_ROLES = ("entry", "agent", "replica")
_HEADERS = [
    ("content-type", "application/json"),
    ("authorization", "Bearer demo-celins-demo"),
]
_OK = range(200, 300)
# Rates of whole answers with one token; then streams at one rate, longer and longer.
_REQUESTS = [("request", rate, 1) for rate in (5, 10, 20, 40)]
_TOKENS = [("stream", 4, tokens) for tokens in (8, 32, 64, 128)]
# Calls that may not be repeated, each with a claim on three replicas.
_ONCE = [("once", rate, 0) for rate in (5, 10, 20, 40)]
_GROUPS = {"chat": ([*_REQUESTS, *_TOKENS], False), "once": (_ONCE, True)}


def _chat(number, tokens, streamed):
    body = {
        "model": "heat-draw",
        "messages": [{"role": "user", "content": f"Write draw number {number}."}],
        "max_tokens": tokens,
        "stream": streamed,
    }
    return Request("POST", "/v1/chat/completions", _HEADERS, orjson.dumps(body))


def _once(number, life):
    headers = [*_HEADERS, ("idempotency-key", f"{life}-{number}")]
    body = orjson.dumps({"id": f"{life}-{number}"})
    return Request("POST", "/v1/services/meet-app/confirm", headers, body)


class _Load:
    """Sends requests at an even rate and counts what came of them."""

    def __init__(self, address, kind, rate_per_s, tokens, life):
        self._client = HttpClient(TcpNetwork())
        self._address = address
        self._kind = kind
        self._rate_per_s = rate_per_s
        self._tokens = tokens
        self._life = life
        self.answered = 0
        self.refused = 0
        self.tokens = 0

    async def run(self, duration_s):
        async with trio.open_nursery() as nursery:
            for number in range(round(duration_s * self._rate_per_s)):
                nursery.start_soon(self._send, number)
                await trio.sleep(1 / self._rate_per_s)

    def _make(self, number):
        if self._kind == "once":
            return _once(number, self._life)
        return _chat(number, self._tokens, self._kind == "stream")

    async def _send(self, number):
        req = self._make(number)
        async with self._client.open(self._address, req, timeout_s=60) as reply:
            answer = await reply.read()
        if reply.status not in _OK:
            self.refused += 1
            return
        self.answered += 1
        # Each event but the closing ones carries one token.
        streamed = self._kind == "stream"
        self.tokens += answer.count(b'"content"') if streamed else self._tokens


async def _measure(deployment, pids, point, duration_s, life):
    kind, rate_per_s, tokens = point
    address = Address.parse(deployment.callers_port)
    load = _Load(address, kind, rate_per_s, tokens, life)
    before, started_s = read_usage(pids), trio.current_time()
    await load.run(duration_s)
    after, took_s = read_usage(pids), trio.current_time() - started_s
    rates = {name: usage_rate(before[name], after[name], took_s) for name in pids}
    return {
        "kind": kind,
        "rate_per_s": rate_per_s,
        "tokens": tokens,
        "took_s": took_s,
        "answered": load.answered,
        "refused": load.refused,
        "requests_per_s": load.answered / took_s,
        "tokens_per_s": load.tokens / took_s,
        "rates": {role: rates[f"{role}-0"] for role in _ROLES},
    }


async def _run_points(points, plain, repeats, duration_s, root):
    folder = Path(root) / ("plain" if plain else "engine")
    deployment = CapacityDeployment(folder, Ports(), 1, 3, 1, plain)
    processes = deployment.processes
    rounds = []
    try:
        await deployment.start()
        await trio.sleep(_SETTLE_S)
        pids = {}
        for role in _ROLES:
            pids |= deployment.pids(role)
        for turn in range(repeats):
            runs = []
            for number, point in enumerate(points):
                life = f"{turn}-{number}"
                run = await _measure(deployment, pids, point, duration_s, life)
                click.echo(json.dumps(run))
                runs.append(run)
            rounds.append(runs)
        await processes.stop(processes.names(), _STOP_TIMEOUT_S)
    finally:
        processes.kill_all()
    return rounds


async def _run(group, repeats, duration_s):
    points, plain = _GROUPS[group]
    with tempfile.TemporaryDirectory() as root:
        return await _run_points(points, plain, repeats, duration_s, root)


def _fits(rounds):
    return {
        f"{role}.{kind}": _fit(rounds, kind, role)
        for kind in dict.fromkeys(run["kind"] for run in rounds[0])
        for role in _ROLES
    }


def _fit(rounds, kind, role):
    points = [
        [_POINTS[kind](run, run["rates"][role]["cpu_ms_per_s"]) for run in runs]
        for runs in ([r for r in runs if r["kind"] == kind] for runs in rounds)
    ]
    slopes = [fit_line(part).slope for part in points]
    line = fit_line([point for part in points for point in part])
    spread = {"lowest_slope": min(slopes), "highest_slope": max(slopes)}
    return line.to_json() | spread


def _by_rate(run, cpu_ms_per_s):
    return run["requests_per_s"], cpu_ms_per_s


def _by_length(run, cpu_ms_per_s):
    # Longer streams end later, so that fewer a second fall into the time measured:
    # by the rate of tokens, what a request costs would count against the tokens.
    return run["tokens"], cpu_ms_per_s / run["requests_per_s"]


_POINTS = {"request": _by_rate, "stream": _by_length, "once": _by_rate}


def _save(found, duration_s):
    FIGURES.parent.mkdir(parents=True, exist_ok=True)
    kept = json.loads(FIGURES.read_text())["groups"] if FIGURES.exists() else {}
    figures = {
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "duration_s": duration_s,
        "groups": kept | found,
    }
    FIGURES.write_text(json.dumps(figures, indent=1) + "\n")


@click.command()
@click.option("--group", multiple=True, type=click.Choice(list(_GROUPS)))
@click.option("--repeats", default=3, show_default=True)
@click.option("--duration-s", default=5.0, show_default=True, help="Of each point.")
@click.option("--save", is_flag=True, help=f"Write {FIGURES.relative_to(ROOT)} too.")
def main(group, repeats, duration_s, save):
    """Load one entry and one agent at several rates, and fit lines."""
    found = {}
    for name in group or _GROUPS:
        rounds = trio.run(_run, name, repeats, duration_s)
        found[name] = {"rounds": rounds, "fits": _fits(rounds)}
        for key, fit in found[name]["fits"].items():
            click.echo(f"{key:24} {json.dumps(fit)}")
    if save:
        _save(found, duration_s)


if __name__ == "__main__":
    main()
