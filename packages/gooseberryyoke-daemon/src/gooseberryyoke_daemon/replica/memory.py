"""Replicas in memory, for tests: links that are cut, disks that are lost."""

from random import Random

import trio

from gooseberryyoke_daemon.registers import PeerFailed, RegisterClient
from gooseberryyoke_daemon.replica.replica import Replica
from gooseberryyoke_daemon.storage.memory import MemoryDisk

__all__ = ["MemoryReplicas"]


class _Link:
    """A peer as one host sees it."""

    def __init__(self, replicas, source, seat):
        self._replicas = replicas
        self._source = source
        self._seat = seat

    async def call(self, message):
        replicas = self._replicas
        with trio.move_on_after(replicas.call_timeout_s):
            await replicas.travel(self._source, self._seat)
            replica = replicas.running.get(self._seat)
            if replica is None:
                raise PeerFailed(f"{self._seat} is down")
            reply = await replica.call(message)
            if replicas.running.get(self._seat) is not replica:
                raise PeerFailed(f"{self._seat} went down")
            await replicas.travel(self._seat, self._source)
            return reply
        raise PeerFailed(f"{self._seat} did not reply to {self._source}")


class MemoryReplicas:
    """
    A set of replicas in one trio run.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs them.
    seed : int
        Of all random choices.
    size : int
        Number of seats, named ``r1``, ``r2`` and so on.
    latency_s : float
        Longest time that a message takes one way.
    sync_s : float
        Time of a disk's sync.
    call_timeout_s : float
        After which a call without a reply fails.

    Attributes
    ----------
    disks : dict of str to MemoryDisk
        By seat.
    running : dict of str to Replica
        By seat; those that are up.
    """

    def __init__(
        self,
        nursery,
        seed=0,
        size=3,
        latency_s=0.0,
        sync_s=0.0,
        call_timeout_s=1.0,
        may_found=True,
        snapshot_bytes=None,
    ):
        self.rng = Random(seed)
        self.seats = tuple(f"r{number}" for number in range(1, size + 1))
        self.disks = {seat: MemoryDisk(sync_s) for seat in self.seats}
        self.running = {}
        self.call_timeout_s = call_timeout_s
        self.may_found = may_found
        self._sync_s = sync_s
        self._snapshot_bytes = snapshot_bytes
        self._latency_s = latency_s
        self._nursery = nursery
        self._scopes = {}
        self._cuts = set()

    async def start_all(self):
        """Start every replica and wait until all vote."""
        for seat in self.seats:
            await self.start(seat)
        await self.wait_ready(*self.seats)

    async def start(self, seat):
        """
        Start a replica on its disk.

        Parameters
        ----------
        seat : str
        """
        peers = {other: self.peer(seat, other) for other in self.seats if other != seat}
        replica = Replica(
            seat,
            self.disks[seat],
            peers,
            Random(self.rng.getrandbits(64)),
            may_found=self.may_found,
            snapshot_bytes=self._snapshot_bytes,
        )
        self._scopes[seat] = trio.CancelScope()
        self.running[seat] = replica
        await self._nursery.start(self._run, seat, replica)

    async def _run(self, seat, replica, task_status):
        with self._scopes[seat]:
            await replica.run(task_status)

    async def wait_ready(self, *seats):
        """
        Wait until replicas vote.

        Parameters
        ----------
        *seats : str
        """
        while not all(self.running[seat].is_ready for seat in seats):
            await trio.sleep(0.01)

    def kill(self, seat):
        """
        End a replica at once; what it has not synced is lost.

        Parameters
        ----------
        seat : str
        """
        self._scopes[seat].cancel()
        del self.running[seat]
        self.disks[seat] = self.disks[seat].copy()
        self.disks[seat].crash(self.rng)

    def lose_disk(self, seat):
        """
        Give a replica that is down an empty disk.

        Parameters
        ----------
        seat : str
        """
        self.disks[seat] = MemoryDisk(self._sync_s)

    def cut(self, source, target, one_way=False):
        """
        Lose all messages between two hosts until `heal`.

        Parameters
        ----------
        source, target : str
            Seats or names of clients.
        one_way : bool
            Lose only what goes from source to target.
        """
        self._cuts.add((source, target))
        if not one_way:
            self._cuts.add((target, source))

    def heal(self):
        """Undo all cuts."""
        self._cuts.clear()

    def peer(self, source, seat):
        """
        Give a replica as a host sees it.

        Parameters
        ----------
        source, seat : str

        Returns
        -------
        object
            With ``async call(message)``.
        """
        return _Link(self, source, seat)

    async def client(self, name, times=None):
        """
        Make and run a client.

        Parameters
        ----------
        name : str
            The host that it runs on, for `cut`.
        times : ProposerTimes, optional

        Returns
        -------
        RegisterClient
        """
        peers = {seat: self.peer(name, seat) for seat in self.seats}
        client = RegisterClient(peers, Random(self.rng.getrandbits(64)), times=times)
        await self._nursery.start(client.run)
        return client

    async def travel(self, source, target):
        """
        Let a message's time pass; for ever if the link is cut.

        Parameters
        ----------
        source, target : str
        """
        await trio.sleep(self.rng.uniform(0, self._latency_s))
        if (source, target) in self._cuts:
            await trio.sleep_forever()
