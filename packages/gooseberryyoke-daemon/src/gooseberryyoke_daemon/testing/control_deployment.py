"""Control processes on hosts with disks, which can be killed and emptied."""

from random import Random

import trio
import trio.testing

from gooseberryyoke.retry import RetryLimit
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.routed.control import Control
from gooseberryyoke_daemon.routed.gateway import Gateway
from gooseberryyoke_daemon.routed.rank import Rank
from gooseberryyoke_daemon.routed_settings import (
    ControlSettings,
    GatewaySettings,
    NodeSettings,
    RankSettings,
)
from gooseberryyoke_daemon.storage.memory import MemoryDisk
from gooseberryyoke_daemon.testing.seeding import seeded_scheduler
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["CONTACTS", "PORT", "ControlDeployment", "run_controls"]

PORT = 70
GATEWAY_PORT = 71
RANK_PORT = 72
"""Each role has a port of its own, as two processes may share a machine."""
_RETRY_LIMIT = RetryLimit()
_STARTED_S = 1_790_000_000.0
"""Unix time at the start of the mock clock."""
CONTACTS = tuple(f"10.0.0.{number}:{PORT}" for number in (1, 2, 3))


class _SlowControl(Control):
    """A control process that takes its time for each call, one after the other."""

    call_s = 0.0
    calls = 0

    async def serve_internal(self, nursery, handlers):
        self._processor = trio.Lock()
        return await super().serve_internal(nursery, [self._take_turn, *handlers])

    async def _take_turn(self, request):
        self.calls += 1
        if not self.call_s:
            return
        # A call costs its time also after its caller has given it up.
        with trio.CancelScope(shield=True):
            async with self._processor:
                await trio.sleep(self.call_s)


class ControlDeployment:
    """
    Control processes by number; the first three are the contacts of all.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    call_s : float
        Time that a control process takes for each call of another process.

    Attributes
    ----------
    running : dict of int to Control
    disks : dict of (str, str) to MemoryDisk
        By host and path.
    """

    def __init__(self, nursery, seed=0, call_s=0.0):
        self.network = MemoryNetwork(latency_s=0.001)
        self._call_s = call_s
        self.rng = Random(seed)
        self.disks = {}
        self.running = {}
        self._scopes = {}
        self._gateway_scopes = {}
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
        control = _SlowControl(
            ControlSettings(node, "data"),
            self.network.host(host),
            Random(self.rng.getrandbits(64)),
            self._open_disk(host),
            Clock(wall=lambda: trio.current_time() + _STARTED_S),
        )
        control.call_s = self._call_s
        self._scopes[number] = trio.CancelScope()
        self.running[number] = control
        await self._nursery.start(self._run, number, control)
        return control

    async def _run(self, number, control, task_status):
        with self._scopes[number]:
            await control.run(task_status=task_status)

    def start_gateway(self, number, decode, retry_limit=_RETRY_LIMIT):
        """Start a gateway."""
        host = f"10.7.0.{number}"
        node = NodeSettings(f"g{number}", "a", Address(host, GATEWAY_PORT), CONTACTS)
        gateway = Gateway(
            GatewaySettings(node, Address(host, 80), retry_limit),
            decode,
            HeaderNames(),
            self.network.host(host),
            Random(self.rng.getrandbits(64)),
        )
        scope = self._gateway_scopes[number] = trio.CancelScope()
        self._nursery.start_soon(self._run_gateway, scope, gateway)
        return gateway

    async def _run_gateway(self, scope, gateway):
        with scope:
            await gateway.run()

    def kill_gateway(self, number):
        """End a gateway at once."""
        self._gateway_scopes.pop(number).cancel()

    def start_rank(self, number, decode):
        """Start a process beside an engine that belongs to no group."""
        host = f"10.8.0.{number}"
        address = Address(host, RANK_PORT)
        node = NodeSettings(f"r{number}", "a", address, CONTACTS)
        rank = Rank(
            RankSettings(node, Address(host, 80)),
            decode,
            lambda engine: None,
            self.network.host(host),
            Random(self.rng.getrandbits(64)),
        )
        self._nursery.start_soon(rank.run)
        return rank

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

    async def stop(self, number, wipe=False):
        """Stop a process as planned; with ``wipe`` its machine is taken away."""
        control = self.running[number]
        await control.hand_over()
        await control.stop()
        self.kill(number, wipe)

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


def run_controls(main, seed=0, call_s=0.0):
    """
    Run ``main`` with a `ControlDeployment` under a mock clock.

    With the same seed, tasks take their turns in the same order: a seed that has shown
    a failure shows it again.
    """

    async def body():
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                await main(ControlDeployment(nursery, seed, call_s))
                nursery.cancel_scope.cancel()

    with seeded_scheduler(seed):
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
