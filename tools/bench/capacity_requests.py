"""Processor time of entry and agent for each request and each streamed token."""

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
from tools.bench.capacity_usage import read_usage

__all__ = ["main"]

FIGURES = ROOT / "docs" / "figures" / "capacity-requests.json"

_SETTLE_S = 4.0
_STOP_TIMEOUT_S = 30.0
_ROLES = ("entry", "agent")
_KEY = "demo-celins-demo"
_OK = 200
# Rates of whole answers with one token; then streams at one rate, longer and longer.
_REQUESTS = [(rate, 1, False) for rate in (5, 10, 20, 40)]
_TOKENS = [(4, tokens, True) for tokens in (8, 32, 64, 128)]


class _Load:
    """Sends requests at an even rate and counts what came of them."""

    def __init__(self, address, rate_per_s, tokens, streamed):
        self._client = HttpClient(TcpNetwork())
        self._address = address
        self._rate_per_s = rate_per_s
        self._tokens = tokens
        self._streamed = streamed
        self.answered = 0
        self.refused = 0
        self.tokens = 0

    async def run(self, duration_s):
        async with trio.open_nursery() as nursery:
            for number in range(round(duration_s * self._rate_per_s)):
                nursery.start_soon(self._send, number)
                await trio.sleep(1 / self._rate_per_s)

    async def _send(self, number):
        body = {
            "model": "heat-draw",
            "messages": [{"role": "user", "content": f"Write draw number {number}."}],
            "max_tokens": self._tokens,
            "stream": self._streamed,
        }
        headers = [
            ("content-type", "application/json"),
            ("authorization", f"Bearer {_KEY}"),
        ]
        req = Request("POST", "/v1/chat/completions", headers, orjson.dumps(body))
        async with self._client.open(self._address, req, timeout_s=60) as reply:
            answer = await reply.read()
        if reply.status != _OK:
            self.refused += 1
            return
        self.answered += 1
        # Each event but the closing ones carries one token.
        events = answer.count(b'"content"')
        self.tokens += events if self._streamed else self._tokens


async def _measure(deployment, pids, point, duration_s):
    rate_per_s, tokens, streamed = point
    address = Address.parse(deployment.callers_port)
    load = _Load(address, rate_per_s, tokens, streamed)
    before, started_s = read_usage(pids), trio.current_time()
    await load.run(duration_s)
    after, took_s = read_usage(pids), trio.current_time() - started_s
    cpu = {
        role: 1000 * (after[f"{role}-0"].cpu_s - before[f"{role}-0"].cpu_s) / took_s
        for role in _ROLES
    }
    return {
        "rate_per_s": rate_per_s,
        "tokens": tokens,
        "streamed": streamed,
        "took_s": took_s,
        "answered": load.answered,
        "refused": load.refused,
        "requests_per_s": load.answered / took_s,
        "tokens_per_s": load.tokens / took_s,
        "cpu_ms_per_s": cpu,
        "rss_mb": {role: after[f"{role}-0"].rss_bytes / 1e6 for role in _ROLES},
    }


async def _run(repeats, duration_s):
    with tempfile.TemporaryDirectory() as root:
        deployment = CapacityDeployment(Path(root) / "requests", Ports(), 1, 3, 1)
        processes = deployment.processes
        try:
            await deployment.start()
            await trio.sleep(_SETTLE_S)
            pids = deployment.pids("entry") | deployment.pids("agent")
            rounds = []
            for _ in range(repeats):
                runs = []
                for point in [*_REQUESTS, *_TOKENS]:
                    runs.append(await _measure(deployment, pids, point, duration_s))
                    click.echo(json.dumps(runs[-1]))
                rounds.append(runs)
            await processes.stop(processes.names(), _STOP_TIMEOUT_S)
        finally:
            processes.kill_all()
    return rounds


def _fits(rounds):
    found = {}
    for key, streamed in (("requests_per_s", False), ("tokens_per_s", True)):
        for role in _ROLES:
            points = [
                [
                    (run[key], run["cpu_ms_per_s"][role])
                    for run in runs
                    if run["streamed"] is streamed
                ]
                for runs in rounds
            ]
            slopes = [fit_line(part).slope for part in points]
            line = fit_line([point for part in points for point in part])
            found[f"{role}.{key}"] = line.to_json() | {
                "lowest_slope": min(slopes),
                "highest_slope": max(slopes),
            }
    return found


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--duration-s", default=8.0, show_default=True, help="Of each point.")
@click.option("--save", is_flag=True, help=f"Write {FIGURES.relative_to(ROOT)} too.")
def main(repeats, duration_s, save):
    """Load one entry and one agent at several rates, and fit lines."""
    rounds = trio.run(_run, repeats, duration_s)
    fits = _fits(rounds)
    for key, fit in fits.items():
        click.echo(f"{key:24} {json.dumps(fit)}")
    if save:
        FIGURES.parent.mkdir(parents=True, exist_ok=True)
        figures = {
            "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
            "unit": "ms of processor time a second",
            "duration_s": duration_s,
            "rounds": rounds,
            "fits": fits,
        }
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
