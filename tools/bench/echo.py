"""Whether agents that pass on what entries told them shorten a stale bundle's time."""

import json
from functools import partial
from pathlib import Path
from random import Random
from statistics import mean

import click
from loguru import logger
from trio import sleep

from gooseberryyoke_daemon.bundles import BundleKeeper
from gooseberryyoke_daemon.testing import FakeEngine, run_session
from gooseberryyoke_daemon.testing.session import BUNDLE_TEXT

__all__ = ["main"]

_SEEDS = 20
_POLL_S = 0.01
_AGENTS = 3
_FIGURES = Path(__file__).parents[2] / "docs" / "figures" / "echo.json"
_ISOLATED = "10.0.0.4"
_OTHERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


async def _session(found, seed, session):
    await session.start(entries=4)
    for number in range(1, _AGENTS + 1):
        host = f"10.0.1.{number}"
        engine = FakeEngine()
        await session.server(f"llm{number}", host, "draw-llm", ["heat-draw"], engine)
    await sleep(2.0 + Random(seed).random())
    for host in _OTHERS:
        session.network.cut(_ISOLATED, host)
    await session.roll(BUNDLE_TEXT.replace("version: 1", "version: 2"))
    accepted_s = session.clock.now()
    while (await session.call("GET", "/readyz", entry=4)).status == 200:
        await sleep(_POLL_S)
    found["stale_s"] = session.clock.now() - accepted_s


async def _roll(found, seed, session):
    await session.start(entries=4)
    await session.server("llm1", "10.0.1.1", "draw-llm", ["heat-draw"], FakeEngine())
    await sleep(2.0 + Random(seed).random())
    await session.roll(BUNDLE_TEXT.replace("version: 1", "version: 2"))
    accepted_s = session.clock.now()
    for entry in (1, 2, 3, 4):
        while not await _has_second(session, entry):
            await sleep(_POLL_S)
    found["in_force_s"] = session.clock.now() - accepted_s


async def _has_second(session, entry):
    status = await session.operate("GET", "/operator/status", entry)
    bundle = status.payload["bundle"]
    return bundle is not None and bundle["version"] == 2


def _measure(body, name):
    values = []
    for seed in range(_SEEDS):
        found = {}
        run_session(partial(body, found, seed), seed=seed)
        values.append(found[name])
    return {"mean": round(mean(values), 3), "worst": round(max(values), 3)}


def _measure_all():
    return {
        "isolated entry serves the old bundle": _measure(_session, "stale_s"),
        "new bundle in force on all entries": _measure(_roll, "in_force_s"),
    }


@click.command()
@click.option("--save", is_flag=True, help="Write docs/figures/echo.json.")
def main(save):
    """Measure with and without, in sessions in memory, 20 seeds each."""
    logger.remove()
    heard_of = BundleKeeper.heard_of
    BundleKeeper.heard_of = lambda self, version: None
    without = _measure_all()
    BundleKeeper.heard_of = heard_of
    results = {"seeds": _SEEDS, "without": without, "with": _measure_all()}
    click.echo("seconds of mock time: lease 2 s, announcements and checks each 0.5 s")
    for name, before in without.items():
        after = results["with"][name]
        ratio = after["mean"] / before["mean"]
        click.echo(
            f"{name}: mean {before['mean']} -> {after['mean']} (ratio {ratio:.2f}), "
            f"worst {before['worst']} -> {after['worst']}"
        )
    if save:
        _FIGURES.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
