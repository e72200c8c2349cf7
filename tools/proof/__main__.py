"""Longer search than the tests': ``make proof`` or ``python -m tools.proof``."""

import sys
import time

import click
from loguru import logger

from tools.proof.claim_search import search_claims
from tools.proof.search import search_registers
from tools.proof.world import PROFILES

__all__ = ["main"]

_WIDTH = 24


def _line(name, value):
    click.echo(f"  {name:<{_WIDTH}}{value}")


def _counts(title, counter):
    for name, count in sorted(counter.items(), key=str):
        _line(f"{title} {name}", count)


def _show_found(found):
    _line("seeds with a fault", len(found))
    for seed, faults in found[:10]:
        for fault in faults[:3]:
            click.echo(f"    seed {seed}: {fault}")


def _registers(profile, size, seeds):
    began_s = time.monotonic()
    report = search_registers(seeds, profile, size)
    click.echo(f"registers, {size} replicas, profile {profile}")
    _line("schedules tried", report.schedules)
    _line("steps", report.steps)
    _counts("operations", report.operations)
    _counts("injected", report.injected)
    lost = sum("over one another" in str(item) for item in report.found)
    _line("acknowledged lost", lost)
    _show_found(report.found)
    _line("seconds", f"{time.monotonic() - began_s:.1f}")
    return report.found


def _claims(seeds):
    began_s = time.monotonic()
    report = search_claims(seeds)
    click.echo("claims, 3 replicas, 2 agents, 2 entries")
    _line("schedules tried", report.schedules)
    _counts("told", report.told)
    _counts("injected", report.injected)
    _line("keys that ran", sum(report.runs.values()))
    _line("runs per key at most", max(report.runs, default=0))
    _show_found(report.found)
    _line("seconds", f"{time.monotonic() - began_s:.1f}")
    return report.found


@click.command()
@click.option("--registers", default=2000, show_default=True, help="Schedules each.")
@click.option("--claims", default=600, show_default=True, help="Schedules.")
@click.option("--first-seed", default=0, show_default=True)
def main(registers, claims, first_seed):
    """Search schedules for faults of the durable state."""
    logger.remove()
    found = []
    for size in (3, 5):
        for profile in PROFILES:
            count = registers if size == 3 else registers // 4
            found += _registers(profile, size, range(first_seed, first_seed + count))
    found += _claims(range(first_seed, first_seed + claims))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
