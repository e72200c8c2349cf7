"""Real control processes and gateways on loopback, before engines of this process."""

import os
import sys
from random import Random
from shutil import rmtree

import trio

from examples.demonstration.processes import Processes
from gooseberryyoke.retry import RetryLimit
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    Request,
    TcpNetwork,
    WireError,
)
from gooseberryyoke_platform.names import (
    CONFIG_GET,
    CONFIG_PUT,
    HEADERS,
    HEARTBEAT_PREFIX,
    READY,
    SETTINGS_VARIABLE,
)
from tools.soak.document import DOCUMENT, KEY
from tools.soak.engine import Engine

__all__ = ["ZONES", "RoutedDeployment"]

ZONES = ("z-a", "z-b", "z-c")
_CONTROLS = 3
_GATEWAYS = 3
_ENGINES_A_ZONE = 2
_CONTROL_PORT = 8229
_FRONT_PORT = 8227
_READY_PORT = 8220
_DIRECTORY_PORT = 8228
_ENGINE_PORT = 8080
_NETWORKS = 199
"""Two runs at a time must not share addresses: each process takes a network of
127.0.0.0/8 by its number."""
_HEARTBEAT_S = 0.5
_CALL_S = 2.0
_START_S = 30.0
_GRACE_S = 3
_FIRST_ADDED = 30
"""Number of the address before those of control processes that are added."""
_POLL_S = 0.1
_OK = 200
_RETRY_LIMIT = RetryLimit()


class RoutedDeployment:
    """
    Three control processes, gateways, and two engines in each of three zones.

    Parameters
    ----------
    folder : pathlib.Path
        Empty; for settings, data and logs.
    seed : int
        Of the engines and heartbeats.
    engine_type : type
        `Engine` or a class derived from it.
    document : dict
        The configuration.
    gateways : int
    retry_limit : RetryLimit
    grace_s : int
        For a planned stop.

    Attributes
    ----------
    processes : Processes
    controls, gateways : tuple of str
        Names of the processes.
    engines : list of Engine
    """

    def __init__(
        self,
        folder,
        seed,
        engine_type=Engine,
        document=DOCUMENT,
        gateways=_GATEWAYS,
        retry_limit=_RETRY_LIMIT,
        grace_s=_GRACE_S,
    ):
        self._grace_s = grace_s
        folder.mkdir(parents=True)
        self.processes = Processes(folder)
        self.controls = tuple(f"control-{n}" for n in range(1, _CONTROLS + 1))
        self.gateways = tuple(f"gateway-{n}" for n in range(1, gateways + 1))
        self._folder = folder
        self._document = document
        self._retry_limit = retry_limit
        self._rng = Random(f"{seed} deployment")
        self._client = HttpClient(TcpNetwork())
        self._caller = HttpClient(TcpNetwork(), keeps_host=True)
        self._attempts = self._added = 0
        names = (*self.controls, *self.gateways)
        self._hosts = {name: _host(number) for number, name in enumerate(names, 1)}
        self.engines = [
            engine_type(
                f"engine-{zone}-{number}",
                zone,
                Address(_host(100 + 10 * at + number), _ENGINE_PORT),
                self._rng,
            )
            for at, zone in enumerate(ZONES)
            for number in range(_ENGINES_A_ZONE)
        ]

    def control_addresses(self):
        """List the operators' ports of the control processes."""
        return [f"{self._hosts[name]}:{_CONTROL_PORT}" for name in self.controls]

    def control_at(self, address):
        """Give the name of the control process at an operators' port."""
        return self.controls[self.control_addresses().index(address)]

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Start all, wait until every gateway is ready, and serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in (*self.controls, *self.gateways):
                self._write_settings(name, is_first=True)
                self.start(name)
            for engine in self.engines:
                await nursery.start(engine.run)
                nursery.start_soon(self._announce, engine)
            with trio.fail_after(_START_S):
                await self._put_table()
                await self.wait_until_ready()
            self._write_all_settings()
            task_status.started()

    def start(self, name):
        """Start a process on the settings and data that it has."""
        role = name.partition("-")[0]
        # env becomes the process that it starts.
        self.processes.start(
            name,
            [
                "env",
                f"{SETTINGS_VARIABLE}={self._folder / name}.toml",
                sys.executable,
                "-m",
                "gooseberryyoke_platform",
                role,
            ],
        )

    def add_control(self):
        """
        Start a control process on a machine that was never there before.

        Returns
        -------
        str
            Its name.
        """
        self._added += 1
        number = _CONTROLS + self._added
        name = f"control-{number}"
        self._hosts[name] = _host(_FIRST_ADDED + self._added)
        # All know the new list of control processes from the next look at their files.
        self.controls = (*self.controls, name)
        self._write_all_settings()
        self.start(name)
        return name

    async def remove_control(self, name, timeout_s):
        """
        Stop a control process as planned, and take its machine away.

        Parameters
        ----------
        name : str
        timeout_s : float
            After which it is killed.

        Returns
        -------
        bool
            Whether it ended in time.
        """
        is_late = await self.processes.stop([name], timeout_s)
        self.controls = tuple(one for one in self.controls if one != name)
        self._write_all_settings()
        self.lose_disk(name)
        return not is_late

    def lose_disk(self, name):
        """Empty the data folder of a process that is down."""
        rmtree(self._folder / name, ignore_errors=True)

    async def read_version(self, name):
        """
        Read the version of the configuration at a control process.

        Parameters
        ----------
        name : str

        Returns
        -------
        int or None
            None if it doesn't answer, or has none.
        """
        address = Address(self._hosts[name], _CONTROL_PORT)
        try:
            reply = await self._client.json(
                "GET", address, CONFIG_GET, None, timeout_s=_CALL_S
            )
        except WireError:
            return None
        return reply.payload["version"] if reply.status == _OK else None

    async def put_version(self, version):
        """
        Send the configuration under a version; see `tell`.

        Parameters
        ----------
        version : int

        Returns
        -------
        str or None
        """
        return await self.tell(CONFIG_PUT, {**self._document, "version": version})

    def _write_all_settings(self):
        for name in (*self.controls, *self.gateways):
            self._write_settings(name, is_first=False)

    async def wait_until_ready(self):
        """Wait until every gateway takes requests."""
        for name in self.gateways:
            address = Address(self._hosts[name], _READY_PORT)
            while not await _answers(self._client, address, Request("GET", READY)):
                await trio.sleep(_POLL_S)

    async def ask(self):
        """
        Send a request to any gateway.

        Returns
        -------
        bool
            Whether it was answered.
        """
        address, request = self._make("/read/x", 2000, [])
        return await _answers(self._caller, address, request)

    async def call(self, path, deadline_ms, headers):
        """
        Send a request to any gateway, and read its answer.

        Parameters
        ----------
        path : str
        deadline_ms : int
        headers : list of (str, str)
            Beside those that each request has.

        Returns
        -------
        status : int
        body : bytes

        Raises
        ------
        WireError
            If no whole answer came.
        """
        address, request = self._make(path, deadline_ms, headers)
        async with self._caller.open(address, request) as reply:
            return reply.status, await reply.read()

    def _make(self, path, deadline_ms, headers):
        self._attempts += 1
        host = self._hosts[self._rng.choice(self.gateways)]
        headers = [
            ("host", "soak.example"),
            ("authorization", f"Bearer {KEY}"),
            (HEADERS.attempt_id, f"a-{self._attempts}"),
            (HEADERS.deadline_ms, str(deadline_ms)),
            *headers,
        ]
        request = Request("POST", path, headers, b"body")
        return Address(host, _FRONT_PORT), request

    async def _put_table(self):
        while not await self.tell(CONFIG_PUT, self._document):
            await trio.sleep(_POLL_S)

    @staticmethod
    def heartbeat_path(engine):
        """Give the path of an engine's heartbeats."""
        return f"{HEARTBEAT_PREFIX}{engine.id}"

    async def _announce(self, engine):
        while True:
            if engine.is_up:
                await self.tell(self.heartbeat_path(engine), engine.announcement())
            await trio.sleep(_HEARTBEAT_S)

    async def tell(self, path, document):
        """
        Call control processes in any order until one takes it.

        Parameters
        ----------
        path : str
        document : dict

        Returns
        -------
        str or None
            Name of the process that did.
        """
        addresses = self.control_addresses()
        for address in self._rng.sample(addresses, len(addresses)):
            try:
                reply = await self._client.json(
                    "POST", Address.parse(address), path, document, timeout_s=_CALL_S
                )
            except WireError:
                continue
            if reply.status == _OK:
                return self.control_at(address)
        return None

    def _write_settings(self, name, is_first):
        # Whoever reads it meanwhile finds the former file whole.
        path = self._folder / f"{name}.toml"
        new = path.with_suffix(".new")
        new.write_text(self._settings(name, is_first))
        new.replace(path)

    def _settings(self, name, is_first):
        host = self._hosts[name]
        zone = ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]
        listed = ", ".join(f'"{address}"' for address in self.control_addresses())
        zones = ", ".join(f'"{one}"' for one in ZONES)
        limit = self._retry_limit
        return f"""\
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
zones = [{zones}]
internal_port_range = [7340, 7355]
seed_addresses = [{listed}]
bootstrap = {str(is_first).lower()}
data_dir = "{self._folder / name}"
fault_tolerance = {{ machines = 1 }}
[listen]
control = "{host}:{_CONTROL_PORT}"
front = "{host}:{_FRONT_PORT}"
ready = "{host}:{_READY_PORT}"
directory = "{host}:{_DIRECTORY_PORT}"
[bounds]
grace_period_s = {self._grace_s}
retry_budget_ratio = {limit.ratio}
retry_budget_slack = {limit.slack}
budget_window_s = {limit.window_s}
"""


async def _answers(client, address, request):
    with trio.move_on_after(_CALL_S):
        try:
            async with client.open(address, request) as reply:
                await reply.read()
                return reply.status == _OK
        except WireError:
            return False
    return False


def _host(number):
    return f"127.{1 + os.getpid() % _NETWORKS}.0.{number}"
