"""A small deployment on loopback: the project's programs, and stand-ins around them.

Standard library only. Control processes and gateways run as in ``deploy/system.toml``;
the operator, the engines and the clients are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTROL, FRONT, READY, DIRECTORY, ENGINE = 8229, 8227, 8220, 8228, 8080
ZONES = ("zone-a", "zone-b", "zone-c")
PUT, GET = "/gooseberryyoke/Config.Put", "/gooseberryyoke/Config.Get"
HEARTBEAT = "/gooseberryyoke/Instances.Heartbeat/"
LEAVE = "/gooseberryyoke/Instances.Leave/"
SIGNATURE = "X-Gooseberryyoke-Server-Signature"
_CONTRACTS = "base drain config cost retry recover engine stream tenants"
_SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_port_range = [7340,7355]
seed_addresses = {seeds}
bootstrap = {bootstrap}
loss_counted = {counted}
{data}discovery = "registration"
entry = "directory"
heartbeat_ms = 1200
contracts = {contracts}
config_source = "highest"

[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"

[listen]
{listen}

[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 128

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 88
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
require_fence = true
ttl_max_s = 5
"""


class CaseFailed(Exception):
    """The case could not be run as it is meant to be."""


class Record:
    """Notes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._start_s = time.monotonic()

    def note(self, *words):
        """Add a line."""
        line = f"{time.monotonic() - self._start_s:8.3f} " + " ".join(map(str, words))
        with self._path.open("a", encoding="utf-8") as out:
            out.write(line + "\n")
        print(line, flush=True)


def document(version, routes=()):
    """Make a configuration of two services, with some more routes."""
    base = {
        "host": "case.example",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "app",
        "public": False,
    }
    first = [
        {**base, "name": "read", "path_prefix": "/read/"}
        | {"kind": "idempotent", "max_attempts": 2},
        {**base, "name": "issue", "path_prefix": "/issue/"}
        | {"kind": "non_idempotent", "max_attempts": 1},
    ]
    more = [{**first[0], "name": name, "path_prefix": f"/{name}/"} for name in routes]
    return {
        "version": version,
        "routes": first + more,
        "services": [
            {
                "name": "app",
                "health_path": "/health",
                "max_connections": 96,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"], "priority": 1}],
    }


class Deployment:
    """Processes of the project, each with a machine (an address) of its own."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.running = {}
        self.addresses = {}
        self.seeds = []
        self._network = _free_network()
        self._rng = random.Random(1)

    def machine(self, name):
        """Give the address of a machine."""
        if name not in self.addresses:
            self.addresses[name] = f"{self._network}.{len(self.addresses) + 2}"
        return self.addresses[name]

    def start(self, name, zone, bootstrap=False):
        """Start a process on the settings that its machine has now."""
        role = name.partition("-")[0]
        self._write_settings(name, role, zone, bootstrap)
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GOOSEBERRYYOKE_CONFIG"] = str(self.folder / f"{name}.toml")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                ["python3", "-m", "gooseberryyoke_platform", role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.note("start", name, "bootstrap" if bootstrap else "")

    def _write_settings(self, name, role, zone, bootstrap):
        ip = self.machine(name)
        is_control = role == "control"
        data = f'data_dir = "{self.folder / name}"\n' if is_control else ""
        listen = f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"\n'
        listen += f'directory = "{ip}:{DIRECTORY}"'
        if is_control:
            listen = f'control = "{ip}:{CONTROL}"'
        text = _SETTINGS.format(
            name=name,
            role=role,
            machine_class="core" if is_control else "front",
            serves='["control"]' if is_control else '["front","directory"]',
            ip=ip,
            zone=zone,
            seeds=json.dumps(self.seeds),
            bootstrap=str(bootstrap).lower(),
            counted=str(is_control).lower(),
            data=data,
            listen=listen,
            contracts=json.dumps(_CONTRACTS.split()),
        )
        (self.folder / f"{name}.toml").write_text(text, encoding="utf-8")

    def kill(self, name):
        """End a process at once, as a loss of its machine does."""
        process = self.running.pop(name)
        process.kill()
        process.wait()
        self.record.note("SIGKILL", name)

    def lose_disk(self, name):
        """Empty the data folder of a machine that is down."""
        shutil.rmtree(self.folder / name)
        self.record.note("disk lost", name)

    def signal(self, name, number):
        """Send a signal to a process."""
        self.running[name].send_signal(number)
        self.record.note(signal.Signals(number).name, name)

    async def ended(self, name, timeout_s):
        """Wait for a process that was told to end; kill it when its time is over."""
        until_s = time.monotonic() + timeout_s
        while self.running[name].poll() is None:
            if time.monotonic() > until_s:
                self.kill(name)
                return
            await asyncio.sleep(0.02)
        self.record.note("ended", name, self.running.pop(name).returncode)

    def close(self):
        """End all processes, and remove the folder."""
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
        for process in self.running.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def died(self):
        """List the processes that have ended by themselves."""
        return [name for name, p in self.running.items() if p.poll() is not None]

    def events(self, name, *wanted):
        """List the lines of a process's log that tell of some events."""
        lines = (self.folder / f"{name}.log").read_text("utf-8").splitlines()
        return [line for line in lines if any(word in line for word in wanted)]

    async def put(self, name, content, timeout_s=1.0):
        """Send a configuration to a control process; give the status or None."""
        status, _ = await call(
            self.addresses[name], CONTROL, "POST", PUT, content, timeout_s
        )
        self.record.note("Config.Put", content["version"], "to", name, "->", status)
        return status

    async def put_surely(self, content, names, timeout_s=15.0):
        """Send a configuration until it is acknowledged, as the operator does."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for name in names:
                if await self.put(name, content) == 200:
                    return
            await asyncio.sleep(0.2)
        raise CaseFailed(f"version {content['version']} was never acknowledged")

    async def get(self, name, timeout_s=1.0):
        """Read the configuration at a control process; its version or None."""
        status, body = await call(
            self.addresses[name], CONTROL, "GET", GET, None, timeout_s
        )
        version = json.loads(body)["version"] if status == 200 else None
        self.record.note("Config.Get at", name, "->", status, version)
        return version


async def exchange(host, port, method, path, headers=(), body=b"", timeout_s=1.0):
    """Make one exchange on a channel of its own: status, headers, body or Nones."""
    try:
        return await asyncio.wait_for(
            _exchange(host, port, method, path, headers, body), timeout_s
        )
    except (OSError, EOFError, ValueError, TimeoutError):
        return None, None, b""


async def _exchange(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {host}:{port}")
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")[:-2]
        found = {}
        for line in rest:
            name, _, value = line.partition(":")
            found[name.lower()] = value.strip()
        return int(first.split()[1]), found, await _read_body(reader, found)
    finally:
        writer.close()


async def _read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def call(host, port, method, path, content, timeout_s=1.0):
    """Call one of the system's own interfaces: status or None, and the body."""
    body = b"" if content is None else json.dumps(content).encode()
    headers = [("Content-Type", "application/json")]
    status, _, answer = await exchange(
        host, port, method, path, headers, body, timeout_s
    )
    return status, answer


class Engine:
    """A sound engine of the service ``app``; notes what it runs."""

    def __init__(self, deployment, id, zone, controls):
        self.id = id
        self.zone = zone
        self.address = f"{deployment.machine(id)}:{ENGINE}"
        self.born_ms = round(time.time() * 1000)
        self.state = "ready"
        self.controls = list(controls)
        self.ran = []
        self._deployment = deployment
        self._sequence = 0
        self._server = None

    async def serve(self):
        """Begin to take requests."""
        host = self._deployment.machine(self.id)
        self._server = await asyncio.start_server(self._serve, host, ENGINE)

    def stop(self):
        """Take no more requests, as after a crash."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            await reader.readexactly(int(fields.get("content-length", 0)))
            attempt = fields.get("x-gooseberryyoke-attempt-id")
            expected = fields.get("x-gooseberryyoke-expect-instance", self.id)
            if expected != self.id:
                writer.write(_answer("421 Misdirected Request", attempt, b""))
            else:
                self.ran.append((time.monotonic(), attempt))
                self._deployment.record.note("run", attempt, "at", self.id)
                await asyncio.sleep(0.02)
                signed = f"{SIGNATURE}: {self.id}\r\n"
                writer.write(_answer("200 OK", attempt, b"done", signed))
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def heartbeat(self):
        """Make the next heartbeat."""
        self._sequence += 1
        return {
            "service": "app",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slot_count": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    async def beat(self):
        """Send a heartbeat to the first control process that acknowledges it."""
        content = self.heartbeat()
        for name in list(self.controls):
            host = self._deployment.addresses[name]
            path = HEARTBEAT + self.id
            status, _ = await call(host, CONTROL, "POST", path, content)
            if status is not None and 200 <= status < 300:
                # It stays with the one that acknowledged.
                self.controls.remove(name)
                self.controls.insert(0, name)
                return name
        return None

    async def announce(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(1.2)


def _answer(status, attempt, body, more=""):
    echo = f"X-Gooseberryyoke-Attempt-Id: {attempt}\r\n" if attempt else ""
    head = f"HTTP/1.1 {status}\r\n{echo}{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


async def ask(deployment, gateway, path, attempt, timeout_s=4.0):
    """Send one request of a client to a gateway; give the status or None."""
    headers = [
        ("Host", "case.example"),
        ("Authorization", "Bearer key-of-tenant"),
        ("X-Gooseberryyoke-Attempt-Id", attempt),
        ("X-Gooseberryyoke-Deadline-Ms", str(round(timeout_s * 1000))),
    ]
    status, _, _ = await exchange(
        deployment.addresses[gateway], FRONT, "GET", path, headers, b"", timeout_s
    )
    deployment.record.note("request", attempt, path, "at", gateway, "->", status)
    return status


async def wait_ready(deployment, gateway, timeout_s=20.0):
    """Wait until a gateway counts as ready."""
    until_s = time.monotonic() + timeout_s
    host = deployment.addresses[gateway]
    while time.monotonic() < until_s:
        status, _, _ = await exchange(host, READY, "GET", "/gooseberryyoke/ready")
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise CaseFailed(f"{gateway} is not ready")


def _free_network():
    """Choose a part of 127.0.0.0/8 where nothing listens at the ports in use."""
    rng = random.Random()
    ports = (CONTROL, FRONT, READY, DIRECTORY, ENGINE, 7340, 7341, 7342, 9464)
    for _ in range(50):
        network = f"127.{rng.randint(1, 250)}.{rng.randint(0, 250)}"
        try:
            for number in range(2, 26):
                for port in ports:
                    with socket.socket() as tried:
                        tried.bind((f"{network}.{number}", port))
            return network
        except OSError:
            continue
    raise CaseFailed("no free addresses on loopback")


def run_case(case, folder, has_trouble):
    """
    Run a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Without trouble the case does the same but for the disruption.
    """
    # Told to end early, the case still ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(Path(folder) / "record.txt")
    record.note("trouble" if has_trouble else "no trouble")
    deployment = Deployment(record)
    try:
        broken = asyncio.run(asyncio.wait_for(case(deployment, has_trouble), 115))
    except (CaseFailed, OSError, TimeoutError) as exc:
        record.note("could not run:", repr(exc))
        return 2
    finally:
        deployment.close()
    record.note("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
