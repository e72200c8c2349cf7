"""Longer search than the tests': ``make proof`` or ``python -m tools.proof``."""

import sys
import time

import click
from loguru import logger

from tools.proof.claim_search import search_claims
from tools.proof.evacuation_mutations import MUTATIONS
from tools.proof.evacuation_search import search_evacuations
from tools.proof.evacuations import EVACUATION_PROFILES
from tools.proof.search import search_registers
from tools.proof.world import PROFILES

__all__ = ["main"]

_WIDTH = 28


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


def _evacuations(profile, seeds):
    began_s = time.monotonic()
    report = search_evacuations(seeds, profile)
    click.echo(f"evacuations, 3 replicas, 3 control processes, profile {profile}")
    _line("schedules tried", report.schedules)
    _counts("orders", report.orders)
    _counts("injected", report.injected)
    _show_found(report.found)
    _line("seconds", f"{time.monotonic() - began_s:.1f}")
    return report.found


def _mutations(seeds):
    """Take out one safeguard after the other; give those that nothing noticed."""
    click.echo("evacuations with a safeguard taken out, until a schedule shows it")
    unnoticed = []
    for name, mutation in MUTATIONS.items():
        report = search_evacuations(seeds, mutation.profile, mutation, most_found=1)
        shown = f"after {report.schedules} schedules, {mutation.profile}"
        click.echo(f"  {name}: {shown if report.found else 'NOT noticed'}")
        if not report.found:
            unnoticed.append(name)
    return unnoticed


@click.command()
@click.option("--registers", default=2000, show_default=True, help="Schedules each.")
@click.option("--claims", default=600, show_default=True, help="Schedules.")
@click.option("--evacuations", default=300, show_default=True, help="Schedules each.")
@click.option("--first-seed", default=0, show_default=True)
def main(registers, claims, evacuations, first_seed):
    """Search schedules for faults of the durable state."""
    logger.remove()
    found = []
    for size in (3, 5):
        for profile in PROFILES:
            count = registers if size == 3 else registers // 4
            found += _registers(profile, size, range(first_seed, first_seed + count))
    found += _claims(range(first_seed, first_seed + claims))
    seeds = range(first_seed, first_seed + evacuations)
    for profile in EVACUATION_PROFILES:
        found += _evacuations(profile, seeds)
    found += _mutations(seeds)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
