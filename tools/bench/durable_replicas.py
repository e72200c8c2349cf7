"""Replicas as processes on this machine, to be killed and stopped."""

import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

from gooseberryyoke_daemon.wire import Address

__all__ = ["SEATS", "Replicas"]

ROOT = Path(__file__).parents[2]
SEATS = ("r1", "r2", "r3")


class Replicas:
    """
    Three replica processes on folders of their own.

    Parameters
    ----------
    variant : str
    folder : Path
    """

    def __init__(self, variant, folder):
        self.variant = variant
        self.folder = Path(folder)
        self.addresses = _free_addresses()
        self.processes = {}

    def start(self, seat):
        """Start a replica; it takes its folder as it is."""
        pairs = [f"{name}={address}" for name, address in self.addresses.items()]
        command = [sys.executable, "-m", "tools.bench.durable_process"]
        command += [self.variant, seat, str(self.folder / seat), *pairs]
        self.processes[seat] = subprocess.Popen(command, cwd=ROOT)

    def signal(self, seat, number):
        """Send a signal to a replica; wait for it if it kills."""
        self.processes[seat].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(seat).wait()

    def stop(self):
        """Kill all."""
        for seat in list(self.processes):
            self.signal(seat, signal.SIGCONT)
            self.signal(seat, signal.SIGKILL)

    def folder_bytes(self, seat):
        """Size of a replica's files."""
        return sum(path.stat().st_size for path in (self.folder / seat).iterdir())

    def resident_bytes(self, seat):
        """Memory of a replica's process."""
        status = Path(f"/proc/{self.processes[seat].pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    def processor_s(self):
        """Processor time of all replicas so far."""
        ticks = 0
        for process in self.processes.values():
            text = Path(f"/proc/{process.pid}/stat").read_text()
            user, system = text.rsplit(")", 1)[1].split()[11:13]
            ticks += int(user) + int(system)
        return ticks / os.sysconf("SC_CLK_TCK")


def _free_addresses():
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in SEATS]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        ports = [item.getsockname()[1] for item in sockets]
    return {
        seat: Address("127.0.0.1", port)
        for seat, port in zip(SEATS, ports, strict=True)
    }
