import shutil
import signal
import sys
from pathlib import Path
from random import SystemRandom

import pytest
import trio

ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT))

from gooseberryyoke.register import ReadOperation, WriteOperation  # noqa: E402
from gooseberryyoke.register.messages import Read, ReadReply  # noqa: E402
from gooseberryyoke_daemon.registers import (  # noqa: E402
    HttpPeer,
    PeerFailed,
    RegisterClient,
)
from gooseberryyoke_daemon.wire import HttpClient, TcpNetwork  # noqa: E402
from tools.bench.durable_replicas import SEATS, Replicas  # noqa: E402
from tools.proof.history import Entry, History  # noqa: E402

LIMIT_S = 120
KEYS = ("a", "b")


@pytest.fixture
def replicas(tmp_path):
    processes = Replicas("register", tmp_path)
    for seat in SEATS:
        processes.start(seat)
    yield processes
    processes.stop()


class Load:
    """Writers and readers whose operations are recorded."""

    def __init__(self, registers):
        self.registers = registers
        self.histories = {key: History() for key in KEYS}
        self.step = 0
        self.written = 0
        self.is_over = False

    async def run(self, key, name):
        number, version = 0, 0
        while not self.is_over:
            number += 1
            write = WriteOperation(key, version, f"{name}-{number}")
            operation = write if number % 3 else ReadOperation(key)
            entry = await self.once(operation)
            if entry.observed is not None:
                version = entry.observed.version
            self.written += entry.is_written

    async def once(self, operation):
        self.step += 1
        began = self.step
        if isinstance(operation, ReadOperation):
            result = await self.registers.read(operation.key, 30.0)
        else:
            result = await self.registers.write(
                operation.key, operation.expected_version, operation.value, 30.0
            )
        self.step += 1
        entry = Entry(operation, began, self.step, result)
        self.histories[operation.key].add(entry)
        return entry

    async def go_on(self, writes=20):
        """Wait until more writes have been acknowledged."""
        goal = self.written + writes
        while self.written < goal:
            await trio.sleep(0.01)


async def votes(peer):
    while True:
        try:
            if isinstance(await peer.call(Read("a", "n")), ReadReply):
                return
        except PeerFailed:
            pass
        await trio.sleep(0.05)


def test_processes_killed_stopped_and_emptied_lose_nothing(replicas):
    """
    No acknowledged write is lost or taken back. Under load one replica is stopped
    and goes on, one is killed, one is killed and loses its folder; once it votes
    again another loses its folder too.
    """

    async def main():
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                client = HttpClient(TcpNetwork())
                peers = {
                    seat: HttpPeer(client, address)
                    for seat, address in replicas.addresses.items()
                }
                for peer in peers.values():
                    await votes(peer)
                registers = RegisterClient(peers, SystemRandom())
                await nursery.start(registers.run)
                load = Load(registers)
                async with trio.open_nursery() as writers:
                    for key in KEYS:
                        for name in ("x", "y"):
                            writers.start_soon(load.run, key, name)
                    await break_replicas(load, peers)
                    load.is_over = True
                for key in KEYS:
                    await load.once(ReadOperation(key))
                nursery.cancel_scope.cancel()
        return load

    async def break_replicas(load, peers):
        await load.go_on()
        replicas.signal("r1", signal.SIGSTOP)
        await load.go_on()
        replicas.signal("r1", signal.SIGCONT)
        await load.go_on()
        replicas.signal("r2", signal.SIGKILL)
        await load.go_on()
        replicas.start("r2")
        await votes(peers["r2"])
        for seat in ("r3", "r1"):
            replicas.signal(seat, signal.SIGKILL)
            shutil.rmtree(replicas.folder / seat)
            await load.go_on()
            replicas.start(seat)
            await votes(peers[seat])
        await load.go_on()

    load = trio.run(main)
    faults = {key: history.faults() for key, history in load.histories.items()}
    assert faults == {key: [] for key in KEYS}
    assert load.written >= 120
