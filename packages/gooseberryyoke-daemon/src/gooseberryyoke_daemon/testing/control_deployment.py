"""Control processes on hosts with disks, which can be killed and emptied."""

from random import Random

import trio
import trio.testing

from gooseberryyoke_daemon.compose_routed import Control
from gooseberryyoke_daemon.routed_settings import ControlSettings, NodeSettings
from gooseberryyoke_daemon.storage.memory import MemoryDisk
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["CONTACTS", "PORT", "ControlDeployment", "run_controls"]

PORT = 70
CONTACTS = tuple(f"10.0.0.{number}:{PORT}" for number in (1, 2, 3))


class ControlDeployment:
    """
    Control processes by number; the first three are the contacts of all.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int

    Attributes
    ----------
    running : dict of int to Control
    disks : dict of (str, str) to MemoryDisk
        By host and path.
    """

    def __init__(self, nursery, seed=0):
        self.network = MemoryNetwork(latency_s=0.001)
        self.rng = Random(seed)
        self.disks = {}
        self.running = {}
        self._scopes = {}
        self._nursery = nursery

    def _open_disk(self, host):
        def open_disk(path):
            return self.disks.setdefault((host, path), MemoryDisk(0.002))

        return open_disk

    async def start(self, number, founding=False, contacts=CONTACTS, seats=0):
        """Start a process on what its disk holds."""
        host = f"10.0.0.{number}"
        address = Address(host, PORT)
        node = NodeSettings(f"c{number}", "a", address, contacts, founding, seats)
        control = Control(
            ControlSettings(node, "data"),
            self.network.host(host),
            Random(self.rng.getrandbits(64)),
            self._open_disk(host),
        )
        self._scopes[number] = trio.CancelScope()
        self.running[number] = control
        await self._nursery.start(self._run, number, control)
        return control

    async def _run(self, number, control, task_status):
        with self._scopes[number]:
            await control.run(task_status=task_status)

    def kill(self, number, wipe=False):
        """End a process as a loss of power does; with ``wipe`` its disk is lost too."""
        self._scopes[number].cancel()
        del self.running[number]
        host = f"10.0.0.{number}"
        for key in list(self.disks):
            if key[0] == host:
                if wipe:
                    del self.disks[key]
                else:
                    self.disks[key] = self.disks[key].copy()
                    self.disks[key].crash(self.rng)

    async def found(self):
        """Start the three founders of three seats."""
        for number in (1, 2, 3):
            await self.start(number, founding=True)
        await self.until_ready(1, 2, 3)

    async def until_ready(self, *numbers, limit_s=10.0):
        """Wait until the replicas of these processes vote."""
        with trio.fail_after(limit_s):
            while not all(self.is_ready(number) for number in numbers):
                await trio.sleep(0.02)

    def is_ready(self, number):
        """Tell whether a process's replica votes."""
        replica = self.running[number].keeper.replica
        return replica is not None and replica.is_ready


def run_controls(main, seed=0):
    """Run ``main`` with a `ControlDeployment` under a mock clock."""

    async def body():
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                await main(ControlDeployment(nursery, seed))
                nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
