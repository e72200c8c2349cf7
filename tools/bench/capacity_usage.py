"""Processor time, memory and TCP bytes of running processes, from the kernel."""

import re
import subprocess
from pathlib import Path

from gooseberryyoke.record import Record

__all__ = ["Usage", "parse_sockets", "read_usage", "usage_rate"]

_NS_PER_S = 1e9
_BYTES_PER_KIB = 1024
_SOCKET = re.compile(r"(\S+:\d+)\s+(\S+:(\d+))\s+users:.*?pid=(\d+)")
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class Usage(Record):
    """
    What a process has used so far.

    Parameters
    ----------
    cpu_s : float
        Processor time of all threads, in seconds.
    rss_bytes : int
        Resident memory, shared pages included.
    pss_bytes : int
        Resident memory with shared pages divided among their users.
    sockets : dict of str to int
        TCP payload bytes, sent and received, of each connection that counts.
    """

    __slots__ = ("cpu_s", "rss_bytes", "pss_bytes", "sockets")

    def __init__(self, cpu_s, rss_bytes, pss_bytes, sockets):
        self.cpu_s = cpu_s
        self.rss_bytes = rss_bytes
        self.pss_bytes = pss_bytes
        self.sockets = sockets


def read_usage(pids, ignored_ports=()):
    """
    Read the usage of processes.

    Parameters
    ----------
    pids : dict of str to int
        Process numbers by name.
    ignored_ports : collection of int
        Connections to these ports are no control messages, such as the agent's
        reads of its backend server.

    Returns
    -------
    dict of str to Usage
    """
    sockets = parse_sockets(_list_sockets(), ignored_ports)
    return {
        name: Usage(_cpu_s(pid), *_memory(pid), sockets.get(pid, {}))
        for name, pid in pids.items()
    }


def usage_rate(before, after, window_s):
    """
    Compare two readings of one process.

    Parameters
    ----------
    before, after : Usage
    window_s : float
        Between them, in seconds.

    Returns
    -------
    dict of str to float
        ``cpu_ms_per_s``, ``bytes_per_s`` and, as read last, ``rss_mb``, ``pss_mb``.
    """
    moved = sum(
        count - before.sockets.get(key, 0) for key, count in after.sockets.items()
    )
    return {
        "cpu_ms_per_s": 1000 * (after.cpu_s - before.cpu_s) / window_s,
        "bytes_per_s": moved / window_s,
        "rss_mb": after.rss_bytes / 1e6,
        "pss_mb": after.pss_bytes / 1e6,
    }


def _cpu_s(pid):
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(
        int((task / "schedstat").read_text().split()[0]) / _NS_PER_S for task in tasks
    )


def _memory(pid):
    found = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value, *_ = line.split()
        found[name] = int(value) * _BYTES_PER_KIB
    return found["Rss:"], found["Pss:"]


def _list_sockets():
    command = ["ss", "-tinpHO", "state", "established"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def parse_sockets(listed, ignored_ports=()):
    """
    Read what ``ss -tinpHO state established`` prints.

    Parameters
    ----------
    listed : str
    ignored_ports : collection of int
        Connections to these ports are left out.

    Returns
    -------
    dict of int to dict of str to int
        By process number, then by the two addresses of a connection.
    """
    found = {}
    for line in listed.splitlines():
        match = _SOCKET.search(line)
        if match is None or int(match[3]) in ignored_ports:
            continue
        count = sum(map(int, _BYTES.findall(line)))
        found.setdefault(int(match[4]), {})[f"{match[1]} {match[2]}"] = count
    return found
