"""Resident memory of an idle entry and an idle agent beside a bare interpreter."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

import click
import trio

from examples.demonstration.deployment import Deployment
from examples.demonstration.ports import Ports
from examples.demonstration.processes import ROOT
from examples.demonstration.profile import PROFILES

__all__ = ["main"]

FIGURES = ROOT / "docs" / "figures" / "memory.json"

_BYTES_PER_MB = 1_000_000
_BYTES_PER_KIB = 1024
_IDLE_S = 5.0
_LIMITS_MB = {"agent": 48, "entry": 64, "entry with replica": 64}
_STOP_TIMEOUT_S = 20.0
_BARE = {
    "bare interpreter": "",
    "interpreter with trio": "import trio, trio._core._run",
}
_WAIT = "\nimport sys\nprint('up', flush=True)\nsys.stdin.read()"


def resident_bytes(pid):
    """
    Read the resident memory of a process.

    Parameters
    ----------
    pid : int
        Process number.

    Returns
    -------
    int
        Bytes, shared pages included.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _BYTES_PER_KIB
    raise LookupError(f"process {pid}: no VmRSS, expected a running process")


def _measure_interpreter(code):
    command = [sys.executable, "-c", code + _WAIT]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as proc:
        proc.stdout.readline()
        found = resident_bytes(proc.pid)
        proc.stdin.close()
    return found


async def _measure_daemons(folder):
    profile = PROFILES[0].replace(engines=1, plain_servers=1)
    deployment = Deployment(profile, folder, Ports())
    processes = deployment.processes
    try:
        await deployment.start()
        await trio.sleep(_IDLE_S)
        agent = f"agent-{profile.engine_service}-1"
        first, *_, last = (entry.name for entry in deployment.entries)
        names = {"agent": agent, "entry": last, "entry with replica": first}
        found = {
            label: resident_bytes(processes.pid(name)) for label, name in names.items()
        }
        await processes.stop(processes.names(), _STOP_TIMEOUT_S)
        return found
    finally:
        processes.kill_all()


@click.command()
@click.option("--save", is_flag=True, help=f"Write {FIGURES.relative_to(ROOT)} too.")
def main(save):
    """Print resident memory; the exit code is 1 if a limit is broken."""
    found = {label: _measure_interpreter(code) for label, code in _BARE.items()}
    with tempfile.TemporaryDirectory() as folder:
        found |= trio.run(_measure_daemons, Path(folder) / "memory")
    broken = False
    for label, size in found.items():
        size_mb, limit_mb = size / _BYTES_PER_MB, _LIMITS_MB.get(label)
        beyond = limit_mb is not None and size_mb >= limit_mb
        broken = broken or beyond
        limit = "" if limit_mb is None else f"  limit {limit_mb} MB"
        click.echo(f"{label:24}{size_mb:8.1f} MB{limit}{'  BEYOND' * beyond}")
    if save:
        FIGURES.parent.mkdir(parents=True, exist_ok=True)
        figures = {"unit": "bytes", "resident": found, "idle_s": _IDLE_S}
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
