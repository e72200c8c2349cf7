"""One deployment on loopback: its files, its processes, its first bundle."""

import json
import shutil
import sys

import trio
import yaml

from examples.demonstration.processes import ROOT, Processes, binary
from gooseberryyoke_daemon.wire import HttpClient, TcpNetwork, WireError

__all__ = ["SEED", "Deployment"]

SEED = 7

_ENTRIES = 4
_REPLICAS = ("replica-a", "replica-b", "replica-c")
_SIGNER = "demo-operator"
_SIGNED = "bundle.signed.json"
_START_TIMEOUT_S = 45.0
_POLL_S = 0.1
_STATUS_PATH = "/operator/status"
_OK = 200


class Entry:
    """Addresses of one entry instance."""

    __slots__ = ("name", "internal", "callers", "operators")

    def __init__(self, name, ports):
        self.name = name
        self.internal = ports.take()
        self.callers = ports.take()
        self.operators = ports.take()


class Backend:
    """Addresses of one backend server and of its agent."""

    __slots__ = ("name", "service", "kind", "number", "address", "agent_address")

    def __init__(self, service, kind, number, ports):
        self.name = f"{service}-{number}"
        self.service = service
        self.kind = kind
        self.number = number
        self.address = ports.take()
        self.agent_address = ports.take()


class Deployment:
    """
    Starts, fills and stops the processes of one deployment.

    Parameters
    ----------
    profile : Profile
        What to start.
    folder : pathlib.Path
        Emptied first; settings, keys, logs and data go there.
    ports : Ports
        Shared by all deployments of a run.
    via : callable, optional
        Takes the address of a backend server, or of an entry for callers, and gives
        the one at which it is to be reached. Calls between entries and agents are
        signed for the address that they go to, and take no other way.
    """

    def __init__(self, profile, folder, ports, via=lambda address: address):
        self.profile = profile
        self._folder = folder
        self._via = via
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.processes = Processes(folder)
        self.entries = [Entry(f"entry-{n}", ports) for n in range(1, _ENTRIES + 1)]
        self.backends = [
            *self._backends("engine", profile.engine_service, profile.engines, ports),
            *self._backends(
                "plain", profile.plain_service, profile.plain_servers, ports
            ),
        ]
        self._client = HttpClient(TcpNetwork())

    async def start(self):
        """Start all, roll the bundle, and wait until every entry is ready."""
        await self._operate("keys", "sign-off", _SIGNER, "--folder", self._folder)
        await self._operate("keys", "internal", self._folder / "internal.yaml")
        for backend in self.backends:
            self._start_fake(backend)
        for number, entry in enumerate(self.entries):
            self._start_daemon(entry.name, self._entry_settings(entry, number))
        for backend in self.backends:
            settings = self._agent_settings(backend)
            self._start_daemon(f"agent-{backend.name}", settings)
        await self._wait_for_operators()
        await self._roll()
        await self.wait_until_ready()

    async def status(self):
        """
        Ask for the state of the deployment.

        Returns
        -------
        dict
            The answer of ``gooseberryyoke status --json``.
        """
        return await self._operate("status", *self._entry_options())

    async def executions(self):
        """
        Ask each fake how often it ran each request.

        Returns
        -------
        dict of str to dict of str to int
            Counts by name of the fake and business key.
        """
        counts = {}
        for backend in self.backends:
            reply = await self._client.json(
                "GET", backend.address, "/executions", timeout_s=10
            )
            counts[backend.name] = reply.payload["executions"]
        return counts

    async def pauses(self, name):
        """
        Read what an engine asked for by pauses, and what arrived there.

        Parameters
        ----------
        name : str

        Returns
        -------
        dict
            ``asked``, pairs of the time of the answer and the pause, and
            ``arrivals``, all in seconds of Unix time.
        """
        reply = await self._client.json(
            "GET", self._backend(name).address, "/pauses", timeout_s=10
        )
        return reply.payload

    async def turn_away(self, name, for_s, pause_s):
        """
        Let an engine turn requests away and ask for pauses.

        Parameters
        ----------
        name : str
        for_s, pause_s : float
            How long it does, and the pause that each answer asks for.
        """
        body = {"for_s": for_s, "pause_s": pause_s}
        address = self._backend(name).address
        await self._client.json("POST", address, "/pauses", body, timeout_s=10)

    def _backend(self, name):
        return next(backend for backend in self.backends if backend.name == name)

    async def _operate(self, *args):
        command = [binary("gooseberryyoke"), *map(str, args), "--json"]
        done = await trio.run_process(
            command, capture_stdout=True, capture_stderr=True, check=False
        )
        if done.returncode:
            detail = (done.stdout + done.stderr).decode()
            raise RuntimeError(f"{' '.join(command)}: {detail}")
        return json.loads(done.stdout)

    def _entry_options(self):
        live = set(self.processes.names())
        return [
            option
            for entry in self.entries
            if entry.name in live
            for option in ("--entry", str(entry.operators))
        ]

    async def _roll(self):
        text = (ROOT / "examples" / self.profile.name / "bundle.yaml").read_text()
        bundle = yaml.safe_load(text)
        for replica, entry in zip(
            bundle["durable"]["replicas"], self.entries, strict=False
        ):
            text = text.replace(replica["address"], str(entry.internal))
        (self._folder / "bundle.yaml").write_text(text)
        await self.sign(text)
        signed = self._folder / _SIGNED
        await self._operate("roll", signed, *self._entry_options())

    async def sign(self, text):
        """
        Sign a bundle off with the operators' client.

        Parameters
        ----------
        text : str

        Returns
        -------
        dict
            The signed envelope.
        """
        path, signed = self._folder / "to-sign.yaml", self._folder / _SIGNED
        path.write_text(text)
        key = self._folder / f"{_SIGNER}.key.pem"
        await self._operate(
            "sign", path, "--signer", _SIGNER, "--key", key, "--out", signed
        )
        return json.loads(signed.read_text())

    async def sign_version(self, version):
        """
        Sign the rolled bundle off under another version.

        Parameters
        ----------
        version : int

        Returns
        -------
        dict
            The signed envelope.
        """
        text = (self._folder / "bundle.yaml").read_text()
        return await self.sign(text.replace("version: 1\n", f"version: {version}\n", 1))

    def restart(self, name):
        """
        Start a daemon again that was killed or stopped, with its old settings.

        Parameters
        ----------
        name : str
            As started.
        """
        path = self._folder / f"{name}.yaml"
        self.processes.start(name, [binary("gooseberryyoked"), "--settings", str(path)])

    async def roll_next(self, entries):
        """
        Roll the bundle again under the next version.

        Parameters
        ----------
        entries : list of Entry
            Those that must have it.

        Returns
        -------
        float
            Seconds from its acceptance until each of them had it in force.
        """
        envelope = await self.sign_version(2)
        reply = await self._client.json(
            "POST", entries[0].operators, "/operator/bundle", envelope, timeout_s=10
        )
        if reply.status != _OK:
            raise RuntimeError(f"the roll of version 2 was refused: {reply.payload}")
        accepted_s = trio.current_time()
        for entry in entries:
            await self._wait_for(entry.operators, _STATUS_PATH, _has_second_version)
        return trio.current_time() - accepted_s

    def wipe(self, name):
        """
        Empty the data folder of an entry that doesn't run.

        Parameters
        ----------
        name : str
        """
        shutil.rmtree(self._folder / f"data-{name}", ignore_errors=True)

    async def _wait_for_operators(self):
        for entry in self.entries:
            await self._wait_for(entry.operators, _STATUS_PATH, lambda reply: True)

    async def wait_until_ready(self):
        """Wait until every entry serves and knows every agent."""
        for entry in self.entries:
            await self._wait_for(
                entry.callers, "/readyz", lambda reply: reply.status == _OK
            )
            await self._wait_for(entry.operators, _STATUS_PATH, self._knows_all)

    def _knows_all(self, reply):
        agents = reply.payload.get("agents", [])
        return len(agents) == len(self.backends)

    async def _wait_for(self, address, path, is_right):
        with trio.move_on_after(_START_TIMEOUT_S):
            while True:
                if ended := self.processes.ended():
                    raise RuntimeError(f"{ended} ended; see {self._folder}")
                try:
                    reply = await self._client.json("GET", address, path, timeout_s=2)
                    if is_right(reply):
                        return
                except WireError:
                    pass
                await trio.sleep(_POLL_S)
        raise RuntimeError(f"{address}{path}: not so within {_START_TIMEOUT_S:g} s")

    def _backends(self, kind, service, count, ports):
        return [Backend(service, kind, number, ports) for number in range(1, count + 1)]

    def _start_fake(self, backend):
        module = "engine" if backend.kind == "engine" else "service"
        command = [sys.executable, "-m", f"examples.fakes.{module}"]
        options = ["--listen", str(backend.address), "--seed", str(SEED)]
        self.processes.start(backend.name, [*command, *options])

    def _start_daemon(self, name, settings):
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.restart(name)

    def _shared_settings(self, name, number, roles):
        centres = self.profile.data_centres
        return {
            "name": name,
            "data_centre": centres[number % len(centres)],
            "roles": roles,
            "internal_keys": "internal.yaml",
        }

    def _entry_settings(self, entry, number):
        is_replica = number < len(_REPLICAS)
        roles = ["entry", "replica"] if is_replica else ["entry"]
        settings = self._shared_settings(entry.name, number, roles)
        settings["listen"] = {
            "internal": str(entry.internal),
            "callers": str(entry.callers),
            "operators": str(entry.operators),
        }
        settings["entries"] = [
            str(other.internal) for other in self.entries if other is not entry
        ]
        settings["replicas"] = [
            {"id": name, "address": str(other.internal)}
            for name, other in zip(_REPLICAS, self.entries, strict=False)
        ]
        settings["sign_off"] = {"keys": {_SIGNER: f"{_SIGNER}.pub.pem"}}
        settings["entry"] = {
            "deployment": self.profile.name,
            "public_url": f"http://{self._via(entry.callers)}",
        }
        if is_replica:
            settings["data_folder"] = f"data-{entry.name}"
            settings["replica"] = {"id": _REPLICAS[number], "may_found": True}
        return settings

    def _agent_settings(self, backend):
        name = f"agent-{backend.name}"
        settings = self._shared_settings(name, backend.number, ["agent"])
        settings["listen"] = {"internal": str(backend.agent_address)}
        settings["entries"] = [str(entry.internal) for entry in self.entries]
        server = {
            "name": backend.name,
            "address": str(self._via(backend.address)),
            "kind": backend.kind,
            "service": backend.service,
            "load_path": "/load",
        }
        if backend.kind == "engine":
            server["models"] = [self.profile.model]
        settings["agent"] = {"server": server}
        return settings


def _has_second_version(reply):
    bundle = reply.payload["bundle"]
    return bundle is not None and bundle["version"] == 2
