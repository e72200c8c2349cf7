import json

import pytest
import trio
from click.testing import CliRunner
from returns.result import Failure, Success

from gooseberryyoke.bundle import key_hash, open_envelope
from gooseberryyoke.bundle.signature import make_key_pair
from gooseberryyoke_client.command import gooseberryyoke
from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.session import Session
from gooseberryyoke_daemon.operators import (
    Accepted,
    Approval,
    Conflict,
    HistoryLine,
    Keeper,
    NoMajority,
    OlderVersion,
    OperatorRoutes,
)
from gooseberryyoke_daemon.wire import Request

LEASE_S = 4.0
ENTRIES = ("10.0.0.1:7201", "10.0.0.2:7201")

BUNDLE = f"""\
# rolled by the tests
version: 1
deployment: celins
time_zone: Europe/Riga
accounts:
  deck: {{key_hashes: [{key_hash("deck-key")}]}}
services:
  draw-llm: {{kind: engine, models: [heat-draw]}}
classes:
  draw:
    service: draw-llm
    match: {{model: heat-draw}}
    repeatable: true
    default_patience_s: 8
durable:
  replicas: [{{id: replica-a, address: 127.0.0.1:7301}}]
"""


class MemoryKeeper(Keeper):
    """Settles versions as the durable state does, in one dict."""

    def __init__(self):
        self.accepted = {}
        self.reachable = True

    async def accept(self, envelope, bundle):
        if not self.reachable:
            return Failure(NoMajority(1, 2))
        newest = self.accepted.get(max(self.accepted, default=0))
        if newest is not None and newest.version > envelope.version:
            return Failure(
                OlderVersion(newest.version, newest.digest, _signers(newest))
            )
        if newest is not None and newest.version == envelope.version:
            if newest.digest == envelope.digest:
                return Success(self._accepted(envelope, again=True))
            return Failure(Conflict(newest.version, newest.digest, _signers(newest)))
        self.accepted[envelope.version] = envelope
        return Success(self._accepted(envelope, again=False))

    async def read(self, version=None):
        if not self.reachable:
            return Failure(NoMajority(1, 2))
        return Success(self.accepted.get(version or max(self.accepted, default=0)))

    async def history(self):
        if not self.reachable:
            return Failure(NoMajority(1, 2))
        return Success(
            [
                HistoryLine(
                    version, item.digest, _signers(item), "2026-12-05T04:30:00Z"
                )
                for version, item in sorted(self.accepted.items(), reverse=True)
            ]
        )

    @staticmethod
    def _accepted(envelope, again):
        assert open_envelope(envelope).unwrap()
        return Accepted(envelope.version, envelope.digest, again, LEASE_S)


def _signers(envelope):
    return tuple(item.signer for item in envelope.signatures)


class Deployment:
    """Two entries over one keeper, with the faults that tests bring about."""

    def __init__(self, trusted_keys):
        self.keeper = MemoryKeeper()
        self._trusted_keys = trusted_keys
        self.require(1)
        self.down = set()
        self.lost_answers = 0
        self.stuck = {}
        self.sent = []
        self.now = 0.0
        self.watch_lines = {}
        self.accepted_meanwhile = {}

    def require(self, signers):
        approval = Approval("celins", self._trusted_keys, signers)
        self.routes = OperatorRoutes(self.keeper, approval, self.status)

    def status(self):
        newest = max(self.keeper.accepted, default=0)
        envelope = self.keeper.accepted.get(newest)
        bundle = envelope and {"version": newest, "digest": envelope.digest}
        entries = [
            {
                "name": name,
                "data_centre": "riga-1",
                "state": "serving",
                "version": self.stuck.get(name, newest),
            }
            for name in ("entry-1", "entry-2")
        ]
        agent = {"name": "draw-1", "service": "draw-llm", "state": "serving"}
        replica = {"name": "replica-a", "state": "silent"}
        return {
            "entry": "entry-1",
            "bundle": bundle,
            "entries": entries,
            "agents": [agent],
            "replicas": [replica],
        }

    def send(self, address, method, path, payload, timeout_s):
        self.sent.append((address, method, path))
        if address in self.down:
            raise EntryUnreachableError(f"{address}: Connection refused")
        body = b"" if payload is None else json.dumps(payload).encode()
        response = trio.run(self.routes, Request(method, path, (), body))
        if method == "POST" and self.lost_answers:
            self.lost_answers -= 1
            raise EntryUnreachableError(f"{address}: timed out")
        return response.status, json.loads(response.body)

    def lines(self, address, path):
        if address in self.down:
            raise EntryUnreachableError(f"{address}: Connection refused")
        yield from self.watch_lines.get(address, ())
        self.down.add(address)

    def sleep(self, seconds):
        self.now += seconds
        self.keeper.accepted.update(self.accepted_meanwhile)


class Shell:
    """Runs commands and writes the whole session down."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lines = []

    def run(self, command, expected_code=0):
        session = Session(
            self.deployment, lambda: self.deployment.now, self.deployment.sleep
        )
        result = CliRunner(env={"GOOSEBERRYYOKE_ENTRIES": " ".join(ENTRIES)}).invoke(
            gooseberryyoke, command.split(), obj=session, catch_exceptions=False
        )
        self.lines += [f"$ gooseberryyoke {command}", *result.output.splitlines()]
        self.lines += [f"exit {result.exit_code}", ""]
        assert result.exit_code == expected_code, result.output
        return result.output

    def transcript(self):
        return "\n".join(self.lines)


@pytest.fixture
def shell(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    trusted = {}
    for name in ("anna", "janis"):
        private_pem, trusted[name] = make_key_pair()
        (tmp_path / f"{name}.key.pem").write_text(private_pem, encoding="utf-8")
    write_bundle(tmp_path)
    return Shell(Deployment(trusted))


def write_bundle(folder, name="bundle.yaml", **changes):
    text = BUNDLE
    for key, value in changes.items():
        lines = BUNDLE.splitlines()
        old = next(line for line in lines if line.strip().startswith(f"{key}:"))
        text = text.replace(old, f"{old.split(':')[0]}: {value}")
    (folder / name).write_text(text, encoding="utf-8")


@pytest.fixture
def bundle_file(tmp_path):
    def _write(name="bundle.yaml", **changes):
        write_bundle(tmp_path, name, **changes)

    return _write
