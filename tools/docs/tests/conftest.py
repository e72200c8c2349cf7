import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
BIN = Path(sys.executable).parent
# Below the ephemeral ports, from which a connection might take one meanwhile.
FIRST_PORT = 30000
PORT_SPREAD = 2000
PORT_STEP = 16
WAIT_S = 60.0
STOP_S = 30.0

ENTRY = """\
name: entry-1
data_centre: riga-1
roles: [entry, replica]
listen: {{internal: "{internal}", callers: "{callers}", operators: "{operators}"}}
entries: ["{internal}"]
replicas: [{{id: replica-a, address: "{internal}"}}]
data_folder: data
internal_keys: internal.yaml
sign_off: {{keys: {{anna: anna.pub.pem}}}}
entry: {{deployment: celins, bundle_check_interval_s: 0.2}}
replica: {{id: replica-a, may_found: true}}
"""
AGENT = """\
name: agent-{name}
data_centre: riga-1
roles: [agent]
listen: {{internal: "{listen}"}}
entries: ["{internal}"]
internal_keys: internal.yaml
agent:
  linger_s: 0
  server: {{name: {name}, address: "{server}", kind: {kind}, service: {service},
    models: {models}, load_path: /load}}
"""
FAKES = """\
import sys
import trio
from gooseberryyoke_daemon.testing import FakeEngine, FakeService
from gooseberryyoke_daemon.wire import Address, HttpServer, Limits, TcpNetwork

async def main():
    async with trio.open_nursery() as nursery:
        for fake, text in zip((FakeEngine(), FakeService()), sys.argv[1:]):
            listeners = await TcpNetwork().listen(Address.parse(text))
            nursery.start_soon(HttpServer(fake, Limits()).run, listeners)

trio.run(main)
"""


def _free_addresses(count):
    port = FIRST_PORT + os.getpid() * PORT_STEP % PORT_SPREAD
    found = []
    while len(found) < count:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                found.append(f"127.0.0.1:{port}")
            except OSError:
                pass
        port += 1
    return found


class RunningDeployment:
    """One entry with a replica, two agents, and fakes of what stands beside them."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        names = ("internal", "callers", "operators", "engine", "service", "a", "b")
        self.at = dict(zip(names, _free_addresses(len(names)), strict=True))

    def client(self, *arguments, code=0):
        run = subprocess.run(
            [BIN / "gooseberryyoke", *arguments],
            cwd=self.folder,
            env={**os.environ, "GOOSEBERRYYOKE_ENTRIES": self.at["operators"]},
            capture_output=True,
            text=True,
            timeout=WAIT_S,
        )
        assert run.returncode == code, run.stdout + run.stderr
        return run.stdout

    def start(self):
        self.client("keys", "sign-off", "anna")
        self.client("keys", "internal", "internal.yaml")
        self._write("entry", ENTRY.format(**self.at))
        engine = {"kind": "engine", "service": "draw-llm", "models": "[heat-draw]"}
        plain = {"kind": "plain", "service": "meet-app", "models": "[]"}
        self._write("a", self._agent("draw-1", "a", "engine", engine))
        self._write("b", self._agent("meet-1", "b", "service", plain))
        fakes = [sys.executable, "-c", FAKES, self.at["engine"], self.at["service"]]
        self._run("fakes", fakes)
        for name in ("entry", "a", "b"):
            self._run(name, [BIN / "gooseberryyoked", "--settings", f"{name}.yaml"])
        self._wait_until(lambda status: len(status["entries"]) == 1)
        self._roll()
        self._wait_until(_all_serve)

    def _agent(self, name, listen, server, kind):
        addresses = {"internal": self.at["internal"], "listen": self.at[listen]}
        return AGENT.format(name=name, server=self.at[server], **addresses, **kind)

    def _write(self, name, text):
        (self.folder / f"{name}.yaml").write_text(text, encoding="utf-8")

    def _run(self, name, command):
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes.append(
                subprocess.Popen(command, cwd=self.folder, stdout=log, stderr=log)
            )

    def _roll(self):
        path = ROOT / "examples" / "celins" / "bundle.yaml"
        text = path.read_text(encoding="utf-8")
        replica = f"{{id: replica-a, address: {self.at['internal']}}}"
        for pattern, new in (
            (r"replicas:\n(    - .*\n)+", f"replicas: [{replica}]\n"),
            (r"bundle_lease_s: .*", "bundle_lease_s: 2"),
            (r"max_age_s: [0-9]+", "max_age_s: 1"),
            # Before dawn in Riga callers wait 1.5 s, which a busy machine may miss.
            (r"patience_s: [0-9.]+", "patience_s: 60"),
        ):
            text, changes = re.subn(pattern, new, text)
            assert changes, f"{path} has no {pattern}"
        self._write("bundle", text)
        self.client("sign", "bundle.yaml", "--signer", "anna", "--key", "anna.key.pem")
        self.client("roll", "bundle.signed.json")

    def _wait_until(self, is_right):
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            run = subprocess.run(
                [BIN / "gooseberryyoke", "status", "--json"],
                env={**os.environ, "GOOSEBERRYYOKE_ENTRIES": self.at["operators"]},
                capture_output=True,
                text=True,
            )
            if run.returncode == 0 and is_right(json.loads(run.stdout)):
                return
            time.sleep(0.1)
        raise AssertionError(f"not ready after {WAIT_S} s: {run.stdout}{run.stderr}")

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _all_serve(status):
    members = [*status["entries"], *status["agents"]]
    return len(members) == 3 and {item["state"] for item in members} == {"serving"}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    running = RunningDeployment(tmp_path_factory.mktemp("deployment"))
    try:
        running.start()
        yield running
    finally:
        running.stop()
