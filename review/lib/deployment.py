"""Starts the project's own programs as the platform does, and keeps a record.

Only the standard library is used. Each process gets an address of its own in
127.0.0.0/8 and a settings file in the platform's format.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.client import HTTPConnection
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
CONTROL_PORT = 8229
FRONT_PORT = 8227
READY_PORT = 8220
DIRECTORY_PORT = 8228
ZONES = ("riga-a", "riga-b", "riga-c")
API = "/gooseberryyoke/"


class Record:
    """Lines with the time since the start, in a file and on standard output."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def say(self, text):
        """Write one line."""
        with self._lock:
            line = f"{time.monotonic() - self._began_s:7.2f} {text}"
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def free_network():
    """Find a network 127.x.y.0 where nothing listens on the ports used here."""
    for number in range(200):
        at = os.getpid() + number
        network = f"127.{1 + at % 199}.{at // 199 % 250}"
        if all(_is_free(f"{network}.{host}") for host in (1, 2, 3, 11)):
            return network
    raise OSError("no free network in 127.0.0.0/8")


def _is_free(host):
    for port in (CONTROL_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT, 7340, 7341):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def call(host, port, method, path, body=None, headers=(), timeout_s=5.0):
    """Make one exchange; give (status, body), or (None, reason) without an answer."""
    conn = HTTPConnection(host, port, timeout=timeout_s)
    try:
        conn.request(method, path, body, dict(headers))
        reply = conn.getresponse()
        return reply.status, reply.read()
    except (OSError, ValueError) as exc:
        return None, repr(exc).encode()
    except Exception as exc:  # an answer that is no HTTP
        return None, repr(exc).encode()
    finally:
        conn.close()


class Deployment:
    """Control processes and gateways; `stop` ends all that were started."""

    def __init__(self, record, controls=3, gateways=0, memory_mb=296, bounds=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.memory_mb = memory_mb
        self.controls = [f"core-{n}" for n in range(1, controls + 1)]
        self.gateways = [f"front-{n}" for n in range(1, gateways + 1)]
        self.hosts = {
            name: f"{self.network}.{number}"
            for number, name in enumerate([*self.controls, *self.gateways], 1)
        }
        self.running = {}
        self.bounds = bounds or {}

    def write_settings(self, name, bootstrap, is_core=None):
        """Write the settings file of one machine."""
        host = self.hosts[name]
        if is_core is None:
            is_core = name in self.controls
        zone = ZONES[(int(name.rpartition("-")[2]) - 1) % 3]
        seeds = json.dumps([f"{self.hosts[c]}:{CONTROL_PORT}" for c in self.controls])
        listen = (
            f'control = "{host}:{CONTROL_PORT}"'
            if is_core
            else f'front = "{host}:{FRONT_PORT}"\nready = "{host}:{READY_PORT}"\n'
            f'directory = "{host}:{DIRECTORY_PORT}"'
        )
        serves = ["control"] if is_core else ["front", "directory"]
        bounds = {
            "seed_lag_s": 3,
            "addr_reuse_s": 2,
            "contact_ms": 3000,
            "ack_timeout_ms": 4000,
            "catch_up_s": 4,
            "drain_timeout_ms": 2000,
            "grace_period_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "max_stretch_ms": 5000,
            "revoke_ms": 5000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 88,
            "recovery_s": 12,
            "pass_ms": 120,
            "stall_ms": 1500,
            "ttl_max_s": 5,
            **self.bounds,
        }
        text = "\n".join(
            [
                f'node_name = "{name}"',
                f'role = "{"control" if is_core else "gateway"}"',
                f'machine_class = "{"core" if is_core else "front"}"',
                f"serves = {json.dumps(serves)}",
                f'ip = "{host}"',
                f'zone = "{zone}"',
                'region = "riga"',
                "internal_port_range = [7340,7355]",
                f"seed_addresses = {seeds}",
                f"bootstrap = {str(bootstrap).lower()}",
                f"loss_counted = {str(is_core).lower()}",
                f'data_dir = "{self.folder / "data" / name}"' if is_core else "",
                'discovery = "registration"',
                'entry = "directory"',
                "heartbeat_ms = 1200",
                'config_source = "highest"',
                "[zones]",
                *(f'{zone} = "riga"' for zone in ZONES),
                "[listen]",
                listen,
                "[limits]",
                f"memory_mb = {self.memory_mb}",
                f"max_fds = {4096 if is_core else 4200}",
                f"disk_mb = {128 if is_core else 0}",
                "[fault_tolerance]",
                "machines = 1",
                "zones = 0",
                "regions = 0",
                "[bounds]",
                *(f"{key} = {value}" for key, value in bounds.items()),
                "",
            ]
        )
        (self.folder / f"{name}.toml").write_text(text, encoding="utf-8")

    def start(self, name):
        """Start a process with the command of the deploy file."""
        role = "control" if name in self.controls else "gateway"
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(DEPS)
        env["GOOSEBERRYYOKE_CONFIG"] = str(self.folder / f"{name}.toml")
        log = (self.folder / f"{name}.log").open("ab")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "gooseberryyoke_platform", role],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_all(self):
        """Start everything for the first time."""
        for name in (*self.controls, *self.gateways):
            (self.folder / "data" / name).mkdir(parents=True)
            self.write_settings(name, bootstrap=True)
            self.start(name)

    def add(self, name):
        """Start a control process at a new address with an empty disk."""
        self.hosts[name] = f"{self.network}.{name.rpartition('-')[2]}"
        (self.folder / "data" / name).mkdir(parents=True)
        # The seeds are those of the operator's list as it is now.
        self.write_settings(name, bootstrap=False, is_core=True)
        self.controls.append(name)
        self.start(name)

    def settle(self):
        """From now on, a process that starts is not part of the first start."""
        for name in (*self.controls, *self.gateways):
            self.write_settings(name, bootstrap=False)

    def kill(self, name):
        """SIGKILL, and wait for the end."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def signal(self, name, number):
        """Send a signal to a process of this deployment."""
        self.running[name].send_signal(number)

    def anonymous_mb(self, name):
        """Give the anonymous memory of a process, without mapped files."""
        return anonymous_mb(self.running[name].pid)

    def disk_mb(self, name):
        """Give the size of the files of a process."""
        return (
            sum(
                path.stat().st_size
                for path in (self.folder / "data" / name).rglob("*")
                if path.is_file()
            )
            / 1e6
        )

    def put(self, document, control=None, timeout_s=5.0):
        """Send a configuration once; give the status."""
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        headers = {"Content-Type": "application/json"}
        return call(
            self.hosts[control or self.controls[0]],
            CONTROL_PORT,
            "POST",
            f"{API}Config.Put",
            body,
            headers,
            timeout_s,
        )

    def put_surely(self, document, within_s):
        """Send a configuration until it is acknowledged; give whether it was."""
        body = json.dumps(document).encode()
        until_s = time.monotonic() + within_s
        at = 0
        while time.monotonic() < until_s:
            status, _ = self.put(body, self.controls[at % len(self.controls)])
            if status == 200:
                return True
            at += 1
            time.sleep(0.05)
        return False

    def read_config(self, control, timeout_s=2.0):
        """Read the configuration at one control process."""
        return call(
            self.hosts[control],
            CONTROL_PORT,
            "GET",
            f"{API}Config.Get",
            timeout_s=timeout_s,
        )

    def tell(self, path, document):
        """Send a call of an engine to the control processes, until one takes it."""
        body = json.dumps(document).encode()
        for control in self.controls:
            status, _ = call(
                self.hosts[control],
                CONTROL_PORT,
                "POST",
                API + path,
                body,
                {"Content-Type": "application/json"},
                1.0,
            )
            if status == 200:
                return True
        return False

    def ready(self, gateway):
        """Tell whether a gateway says that it is ready."""
        status, _ = call(
            self.hosts[gateway], READY_PORT, "GET", f"{API}ready", timeout_s=1.0
        )
        return status == 200

    def wait_ready(self, within_s):
        """Wait until all gateways are ready."""
        until_s = time.monotonic() + within_s
        waiting = list(self.gateways)
        while waiting and time.monotonic() < until_s:
            waiting = [name for name in waiting if not self.ready(name)]
            time.sleep(0.05)
        return not waiting

    def stop(self):
        """End all processes that were started, and remove the folder."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            self.record.say(f"kept {self.folder}")


def anonymous_mb(pid):
    """Give the anonymous memory of a process in MB, 0 once it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0
