"""Runs seeds of the soak: ``make soak`` or ``python -m tools.soak``."""

import shutil
import sys
from pathlib import Path

import click
import trio

from examples.demonstration.ports import Ports
from examples.demonstration.processes import ROOT
from tools.soak.crash_soak import CrashSoak
from tools.soak.departure_soak import DepartureSoak
from tools.soak.evacuation_soak import EvacuationSoak
from tools.soak.replacement_soak import ReplacementSoak
from tools.soak.retry_soak import RetrySoak
from tools.soak.soak import Soak

__all__ = ["main"]


_ROUTED = {
    "evacuations": EvacuationSoak,
    "crashes": CrashSoak,
    "departures": DepartureSoak,
    "retries": RetrySoak,
    "replacements": ReplacementSoak,
}
"""Soaks of the deployment of gateways, by their options."""


def _soak(folder, seed, seconds, kind, gateways):
    if kind is None:
        return Soak(folder / str(seed), Ports(), seed, seconds)
    folder = folder / f"{kind}-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    if kind == "retries":
        return RetrySoak(folder, seed, seconds, gateways)
    return _ROUTED[kind](folder, seed, seconds)


async def _run(folder, seed, seconds, kind, gateways):
    soak = _soak(folder, seed, seconds, kind, gateways)
    result = await soak.run()
    click.echo(f"seed {seed}: {'held' if result.is_good else 'FAILED'}")
    if kind is not None:
        click.echo("\n".join(f"  {event}" for event in result.events[-2:]))
    if not result.is_good:
        for line in (*result.events, *map(str, result.points)):
            click.echo(f"  {line}")
    return result.is_good


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=5, show_default=True, help="How many, in a row.")
@click.option("--seconds", default=15.0, show_default=True, help="Of faults, each.")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    default=ROOT / "out" / "soak",
    help="For settings, logs and data, a folder a seed; emptied first.",
)
@click.option(
    "--evacuations",
    "kind",
    flag_value="evacuations",
    help="Evacuate data centres instead.",
)
@click.option(
    "--crashes",
    "kind",
    flag_value="crashes",
    help="Send parts and requests that servers end on instead.",
)
@click.option(
    "--retries",
    "kind",
    flag_value="retries",
    help="Fail requests of two services, and kill gateways in series, instead.",
)
@click.option(
    "--departures",
    "kind",
    flag_value="departures",
    help="Let engines leave, and kill who acknowledges that, instead.",
)
@click.option(
    "--replacements",
    "kind",
    flag_value="replacements",
    help="Replace control machines as planned, and lose others meanwhile, instead.",
)
@click.option("--gateways", default=3, show_default=True, help="With --retries only.")
def main(first, seeds, seconds, folder, kind, gateways):
    """Run a deployment under random faults, and check what its callers get."""
    failed = [
        seed
        for seed in range(first, first + seeds)
        if not trio.run(_run, folder, seed, seconds, kind, gateways)
    ]
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
