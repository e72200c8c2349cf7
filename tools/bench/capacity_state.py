"""State in one process: slopes of memory and processor time by its size."""

import json
import os
import platform
import subprocess
import sys
from random import Random
from statistics import fmean

import click

from examples.demonstration.processes import ROOT
from tools.bench.capacity_fit import fit_line

__all__ = ["main"]

FIGURES = ROOT / "docs" / "figures" / "capacity-state.json"

_SEEDS = (1, 2, 3)
_SIZES = {
    "servers": (300, 600, 1200, 2300),
    "entries": (50, 100, 200, 350),
    "accounts": (1400, 2800, 5500, 11000),
    "claims": (1000, 4000, 8000, 16000),
    "attempts": (250, 500, 1000, 2000),
    "datagrams": (1, 2, 4, 8, 16),
    "expert_layers": (8, 16, 32, 64),
    "load_rows": (1, 8, 24, 96),
    "compact_accounts": (1400, 2800, 5500, 11000),
}


def _probe_in_child(name, size, seed):
    # A process of its own: memory freed by one probe would hide the next one's.
    command = [sys.executable, "-m", "tools.bench.capacity_state", "--probe"]
    done = subprocess.run(
        [*command, name, str(size), str(seed)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        check=True,
    )
    return json.loads(done.stdout)


def _measure(name):
    runs = [
        {"size": size, "seed": seed, "values": _probe_in_child(name, size, seed)}
        for seed in _SEEDS
        for size in _SIZES[name]
    ]
    measures = runs[0]["values"]
    return {"runs": runs, "fits": {key: _fit(runs, key) for key in measures}}


def _fit(runs, key):
    points = [(run["size"], run["values"][key]) for run in runs]
    slopes = [
        fit_line(
            [(r["size"], r["values"][key]) for r in runs if r["seed"] == seed]
        ).slope
        for seed in _SEEDS
    ]
    largest = max(size for size, _ in points)
    return fit_line(points).to_json() | {
        "lowest_slope": min(slopes),
        "highest_slope": max(slopes),
        "mean_at_largest": fmean(value for size, value in points if size == largest),
    }


def _show(name, found):
    click.echo(f"\n{name}, sizes {', '.join(map(str, _SIZES[name]))}")
    for key, fit in found["fits"].items():
        click.echo(
            f"  {key:18} {fit['intercept']:12.3f} + {fit['slope']:12.5f} n"
            f"  ({fit['lowest_slope']:.5f} to {fit['highest_slope']:.5f})"
            f"  R2 {fit['r_squared']:.3f}"
            f"  at the largest {fit['mean_at_largest']:.3f}"
        )


def _run_probe(name, size, seed):
    # Only a child needs what the probes import.
    from tools.bench.capacity_probes import PROBES

    print(json.dumps(PROBES[name](int(size), Random(int(seed)))))


@click.command()
@click.option("--probe", nargs=3, help="One probe: name, size, seed.")
@click.option("--subject", multiple=True, type=click.Choice(list(_SIZES)))
@click.option("--save", is_flag=True, help=f"Write {FIGURES.relative_to(ROOT)} too.")
def main(probe, subject, save):
    """Fill state to several sizes, each in its own process, and fit lines."""
    if probe:
        _run_probe(*probe)
        return
    found = {}
    for name in subject or _SIZES:
        found[name] = _measure(name)
        _show(name, found[name])
    if save:
        FIGURES.parent.mkdir(parents=True, exist_ok=True)
        kept = json.loads(FIGURES.read_text())["subjects"] if FIGURES.exists() else {}
        figures = {
            "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
            "seeds": _SEEDS,
            "subjects": kept | found,
        }
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
