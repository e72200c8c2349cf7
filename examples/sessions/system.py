"""A small deployment of processes, asked as a session in memory is."""

import json
import os
import re
import shutil
import signal
from contextlib import asynccontextmanager
from pathlib import Path

from examples.demonstration.deployment import Deployment
from examples.demonstration.ports import Ports
from examples.demonstration.profile import PROFILES
from gooseberryyoke_daemon.testing.session import Reply
from gooseberryyoke_daemon.wire import HttpClient, Request, TcpNetwork

__all__ = ["ProcessSystem", "running", "small_profile"]

_KEY = "demo-celins-demo"
_PORT = re.compile(r"127\.0\.0\.1:\d+")
_TIMEOUT_S = 30.0


def small_profile(engines=1, plain_servers=1):
    """
    Give the Celins deployment with fewer backend servers.

    Returns
    -------
    Profile
    """
    celins = PROFILES[0]
    return celins.replace(engines=engines, plain_servers=plain_servers)


class ProcessSystem:
    """
    Processes with their addresses and files.

    Parameters
    ----------
    folder : pathlib.Path
        Emptied first.
    profile : Profile
    """

    def __init__(self, folder, profile):
        self.folder = Path(folder)
        self.deployment = Deployment(profile, self.folder, Ports())
        self._client = HttpClient(TcpNetwork())

    @property
    def text(self):
        """The bundle that was rolled at the start."""
        return (self.folder / "bundle.yaml").read_text()

    def kill(self, name):
        """Send SIGKILL and wait for the end."""
        self.deployment.processes.kill(name)

    def freeze(self, name):
        """Send SIGSTOP."""
        os.kill(self.deployment.processes.pid(name), signal.SIGSTOP)

    def thaw(self, name):
        """Send SIGCONT."""
        os.kill(self.deployment.processes.pid(name), signal.SIGCONT)

    def restart(self, name):
        """Start a killed process with the settings that it had."""
        self.deployment.restart(name)

    def lose_disk(self, name):
        """Delete the data folder of a killed entry."""
        shutil.rmtree(self.folder / f"data-{name}")

    async def call(self, method, target, payload=None, entry=1, **headers):
        """Make a request as a caller does; see `Session.call`."""
        pairs = [("authorization", f"Bearer {_KEY}")]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        body = b"" if payload is None else json.dumps(payload).encode()
        address = self.deployment.entries[entry - 1].callers
        request = Request(method, target, pairs, body)
        async with self._client.open(address, request, _TIMEOUT_S) as reply:
            return Reply(reply.status, reply.headers, await reply.read())

    async def roll(self, text, entry=1):
        """Sign a bundle off and send it to one entry, with the operators' client."""
        envelope = await self.deployment.sign(text)
        address = self.deployment.entries[entry - 1].operators
        return await self._client.json(
            "POST", address, "/operator/bundle", envelope, timeout_s=_TIMEOUT_S
        )

    async def status(self, entry=1):
        """Ask an entry for its status."""
        address = self.deployment.entries[entry - 1].operators
        reply = await self._client.json(
            "GET", address, "/operator/status", timeout_s=_TIMEOUT_S
        )
        return reply.payload

    def count_logged(self, name, event):
        """
        Count the log lines of one event that a process has written.

        Parameters
        ----------
        name : str
            Of the process, all its lives together.
        event : str

        Returns
        -------
        int
        """
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return sum(f'"event":"{event}"' in line for line in lines)

    def normalise(self, text):
        """Take ports out of a transcript's text."""
        return _PORT.sub("127.0.0.1:PORT", text)


@asynccontextmanager
async def running(folder):
    """
    Run a small deployment.

    Parameters
    ----------
    folder : pathlib.Path

    Yields
    ------
    ProcessSystem
    """
    system = ProcessSystem(folder, small_profile())
    try:
        await system.deployment.start()
        yield system
    finally:
        system.deployment.processes.kill_all()
