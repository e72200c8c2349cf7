"""Entries, replicas and agents of any number, each a process on loopback."""

import json
import sys

import trio
import yaml

from examples.demonstration.processes import ROOT, Processes, binary
from gooseberryyoke_daemon.wire import HttpClient, TcpNetwork, WireError

__all__ = ["CapacityDeployment"]

_SIGNER = "bench-operator"
_START_TIMEOUT_S = 120.0
_POLL_S = 0.2
_STATUS_PATH = "/operator/status"
_SEED = 7
_PATIENCE_S = 120.0
_BATCH_SLOTS = 64


class CapacityDeployment:
    """
    Processes with roles apart: what a replica costs is not counted as an entry's.

    Parameters
    ----------
    folder : pathlib.Path
        Empty; for settings, keys, logs and data.
    ports : Ports
    entries, replicas, agents : int
        How many of each. All agents stand beside one fake backend server.
    plain : bool
        A plain service in place of a model engine.

    Attributes
    ----------
    processes : Processes
    """

    def __init__(self, folder, ports, entries, replicas, agents, plain=False):
        folder.mkdir(parents=True)
        self.processes = Processes(folder)
        self._folder = folder
        self._ports = ports
        self._entries = [
            {name: str(ports.take()) for name in ("internal", "callers", "operators")}
            for _ in range(entries)
        ]
        self._replicas = [
            {"id": f"replica-{number}", "address": str(ports.take())}
            for number in range(replicas)
        ]
        self._agents = agents
        self._plain = plain
        self.engine = ports.take()
        self._client = HttpClient(TcpNetwork())

    @property
    def callers_port(self):
        """Where the first entry takes callers, as ``host:port``."""
        return self._entries[0]["callers"]

    def pids(self, role):
        """
        Give the process numbers of a role.

        Parameters
        ----------
        role : str
            ``entry``, ``replica`` or ``agent``.

        Returns
        -------
        dict of str to int
        """
        names = self.processes.names(f"{role}-")
        return {name: self.processes.pid(name) for name in names}

    async def start(self):
        """Start all, roll a bundle, and wait until each entry knows each agent."""
        await self._operate("keys", "sign-off", _SIGNER, "--folder", self._folder)
        await self._operate("keys", "internal", self._folder / "internal.yaml")
        self._start_engine()
        for number, replica in enumerate(self._replicas):
            self._start(replica["id"], self._replica_settings(number))
        for number in range(len(self._entries)):
            self._start(f"entry-{number}", self._entry_settings(number))
        for number in range(self._agents):
            self._start(f"agent-{number}", self._agent_settings(number))
        for entry in self._entries:
            await self._wait_for(entry, lambda payload: True)
        await self._roll()
        for entry in self._entries:
            await self._wait_for(entry, self._is_complete)

    def _start_engine(self):
        options = ["--listen", str(self.engine), "--seed", str(_SEED)]
        options += ["--slots", str(_BATCH_SLOTS)]
        module = "service" if self._plain else "engine"
        command = [sys.executable, "-m", f"examples.fakes.{module}", *options]
        self.processes.start("engine", command)

    def _start(self, name, settings):
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.processes.start(name, [binary("gooseberryyoked"), "--settings", str(path)])

    def _shared(self, name, roles, listen):
        return {
            "name": name,
            "data_centre": "riga-1",
            "roles": roles,
            "internal_keys": "internal.yaml",
            "listen": listen,
        }

    def _replica_settings(self, number):
        replica = self._replicas[number]
        listen = {"internal": replica["address"]}
        return self._shared(replica["id"], ["replica"], listen) | {
            "replicas": self._replicas,
            "data_folder": f"data-{number}",
            "replica": {"id": replica["id"], "may_found": True},
        }

    def _entry_settings(self, number):
        own = self._entries[number]
        others = [entry["internal"] for entry in self._entries if entry is not own]
        return self._shared(f"entry-{number}", ["entry"], own) | {
            "entries": others,
            "replicas": self._replicas,
            "sign_off": {"keys": {_SIGNER: f"{_SIGNER}.pub.pem"}},
            "entry": {"deployment": "celins"},
        }

    def _agent_settings(self, number):
        listen = {"internal": str(self._ports.take())}
        server = {
            "name": f"draw-llm-{number}",
            "address": str(self.engine),
            "kind": "engine",
            "service": "draw-llm",
            "models": ["heat-draw"],
            "load_path": "/load",
        }
        if self._plain:
            server |= {"kind": "plain", "service": "meet-app", "models": []}
        return self._shared(f"agent-{number}", ["agent"], listen) | {
            "entries": [entry["internal"] for entry in self._entries],
            "agent": {"server": server},
        }

    async def _roll(self):
        text = (ROOT / "examples" / "celins" / "bundle.yaml").read_text()
        bundle = yaml.safe_load(text)
        bundle["durable"]["replicas"] = self._replicas
        for part in (*bundle["classes"].values(), *bundle["accounts"].values()):
            # YAML 1.1 would take the times of windows for numbers.
            part.pop("patience", None)
        for request_class in bundle["classes"].values():
            request_class["default_patience_s"] = _PATIENCE_S
        bundle["accounts"]["demo"] |= {"rate_per_s": 10000, "burst": 10000}
        path, signed = self._folder / "bundle.yaml", self._folder / "signed.json"
        path.write_text(yaml.safe_dump(bundle, sort_keys=False))
        key = self._folder / f"{_SIGNER}.key.pem"
        await self._operate(
            "sign", path, "--signer", _SIGNER, "--key", key, "--out", signed
        )
        operators = self._entries[0]["operators"]
        await self._operate("roll", signed, "--entry", operators)

    async def _operate(self, *args):
        command = [binary("gooseberryyoke"), *map(str, args), "--json"]
        done = await trio.run_process(command, capture_stdout=True, check=False)
        if done.returncode:
            raise RuntimeError(f"{' '.join(command)}: {done.stdout.decode()}")
        return json.loads(done.stdout)

    def _is_complete(self, payload):
        serving = [e for e in payload["entries"] if e["state"] == "serving"]
        agents = len(payload["agents"])
        return (len(serving), agents) == (len(self._entries), self._agents)

    async def _wait_for(self, entry, is_right):
        address = self.engine.parse(entry["operators"])
        with trio.move_on_after(_START_TIMEOUT_S):
            while True:
                if ended := self.processes.ended():
                    raise RuntimeError(f"{ended} ended; see {self._folder}")
                try:
                    reply = await self._client.json(
                        "GET", address, _STATUS_PATH, timeout_s=2
                    )
                    if is_right(reply.payload):
                        return
                except WireError:
                    pass
                await trio.sleep(_POLL_S)
        raise RuntimeError(f"{address}: not ready within {_START_TIMEOUT_S:g} s")
