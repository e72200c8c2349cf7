"""Idle control load of real processes: slopes by agents, entries and replicas."""

import json
import os
import platform
import tempfile
from pathlib import Path
from statistics import fmean

import click
import trio

from examples.demonstration.ports import Ports
from examples.demonstration.processes import ROOT
from tools.bench.capacity_deployment import CapacityDeployment
from tools.bench.capacity_fit import fit_line
from tools.bench.capacity_usage import read_usage, usage_rate

__all__ = ["main"]

FIGURES = ROOT / "docs" / "figures" / "capacity-processes.json"

_SETTLE_S = 5.0
_STOP_TIMEOUT_S = 30.0
_ROLES = ("entry", "replica", "agent")
_MEASURES = ("cpu_ms_per_s", "bytes_per_s", "rss_mb", "pss_mb")
_SERIES = {
    "agents": [{"entries": 1, "replicas": 3, "agents": n} for n in (4, 8, 16, 32, 64)],
    "entries": [{"entries": n, "replicas": 3, "agents": 1} for n in (1, 2, 4, 8, 12)],
    "replicas": [{"entries": 2, "replicas": n, "agents": 1} for n in (1, 3, 5, 7)],
}


async def _measure(sizes, windows, window_s, folder, ports):
    deployment = CapacityDeployment(folder, ports, **sizes)
    processes = deployment.processes
    try:
        await deployment.start()
        await trio.sleep(_SETTLE_S)
        pids = {}
        for role in _ROLES:
            pids |= deployment.pids(role)
        ignored = (deployment.engine.port,)
        readings = [(trio.current_time(), read_usage(pids, ignored))]
        for _ in range(windows):
            await trio.sleep(window_s)
            readings.append((trio.current_time(), read_usage(pids, ignored)))
        bad = await processes.stop(processes.names(), _STOP_TIMEOUT_S)
    finally:
        processes.kill_all()
    return {"sizes": sizes, "not_stopped": bad, "windows": _windows(readings)}


def _windows(readings):
    found = []
    for (start_s, before), (end_s, after) in zip(readings, readings[1:], strict=False):
        rates = {
            name: usage_rate(before[name], after[name], end_s - start_s)
            for name in before
        }
        found.append({role: _mean_of(rates, role) for role in _ROLES})
    return found


def _mean_of(rates, role):
    mine = [rate for name, rate in rates.items() if name.startswith(f"{role}-")]
    return {key: fmean(rate[key] for rate in mine) for key in _MEASURES}


def _fits(name, runs):
    found = {}
    for role in _ROLES:
        for measure in _MEASURES:
            lines = [
                fit_line(
                    [(r["sizes"][name], r["windows"][w][role][measure]) for r in runs]
                )
                for w in range(len(runs[0]["windows"]))
            ]
            points = [
                (run["sizes"][name], window[role][measure])
                for run in runs
                for window in run["windows"]
            ]
            slopes = [line.slope for line in lines]
            spread = {"lowest_slope": min(slopes), "highest_slope": max(slopes)}
            found[f"{role}.{measure}"] = fit_line(points).to_json() | spread
    return found


async def _run(names, windows, window_s):
    ports = Ports()
    result = {}
    with tempfile.TemporaryDirectory() as root:
        for name in names:
            runs = []
            for sizes in _SERIES[name]:
                folder = Path(root) / f"{name}-{sizes[name]}"
                runs.append(await _measure(sizes, windows, window_s, folder, ports))
                click.echo(f"{sizes}: {json.dumps(runs[-1]['windows'][0])}")
            result[name] = {"runs": runs, "fits": _fits(name, runs)}
    return result


def _show(series):
    for name, found in series.items():
        click.echo(f"\nby {name}")
        for key, fit in found["fits"].items():
            click.echo(
                f"  {key:24} {fit['intercept']:10.3f} + {fit['slope']:9.4f} n"
                f"  ({fit['lowest_slope']:.4f} to {fit['highest_slope']:.4f})"
                f"  R2 {fit['r_squared']:.3f}"
            )


@click.command()
@click.option("--series", multiple=True, type=click.Choice(list(_SERIES)))
@click.option("--windows", default=3, show_default=True, help="Repeats of each size.")
@click.option("--window-s", default=6.0, show_default=True, help="Length of each.")
@click.option("--save", is_flag=True, help="Write the raw results too.")
@click.option(
    "--figures",
    "path",
    type=click.Path(path_type=Path),
    default=FIGURES,
    show_default=str(FIGURES.relative_to(ROOT)),
    help="Where to; series that it has already and that are not run again stay.",
)
def main(series, windows, window_s, save, path):
    """Measure idle processes in groups of several sizes, and fit lines."""
    found = trio.run(_run, series or list(_SERIES), windows, window_s)
    _show(found)
    if save:
        path.parent.mkdir(parents=True, exist_ok=True)
        kept = json.loads(path.read_text())["series"] if path.exists() else {}
        figures = {
            "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
            "settle_s": _SETTLE_S,
            "window_s": window_s,
            "series": kept | found,
        }
        path.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
