"""Reads and writes of registers over a set of replicas."""

from functools import partial

import trio
from returns.result import Failure, Success

from gooseberryyoke.register import (
    CollectOperation,
    Proposer,
    ReadOperation,
    Unavailable,
    WriteOperation,
)
from gooseberryyoke.register.messages import Read, ReadReply, Scan, ScanPage
from gooseberryyoke_daemon.registers.exceptions import PeerFailed

__all__ = ["RegisterClient"]

_REPLIES_HELD = 64


class RegisterClient:
    """
    Compare-and-set registers on a majority of replicas.

    Parameters
    ----------
    peers : dict of str to object
        By seat; each has ``async call(message)``, as `HttpPeer` and `Replica` do.
    rng : random.Random
        Must differ in each life of each process (seed it from the system): two
        that shared its numbers could write under one ballot.
    now : callable
        Time in seconds, on the clock of trio.
    times : ProposerTimes, optional
        Waiting times.

    Notes
    -----
    `run` must be running: it lets calls to slow replicas finish after a majority
    has answered, so that those keep up and their connections are kept.
    """

    def __init__(self, peers, rng, now=trio.current_time, times=None):
        self._peers = dict(peers)
        self._rng = rng
        self._now = now
        self._times = times
        self._identity = f"{rng.getrandbits(64):016x}"
        self._operations = 0
        self._counter = 0
        self._nursery = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Carry calls until cancelled.

        Parameters
        ----------
        task_status : object
            Told once operations are possible.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def set_peers(self, peers):
        """
        Change the addresses of the seats.

        Parameters
        ----------
        peers : dict of str to object
            As in the constructor. One seat at a time may get another holder, and
            the next only after that one has copied the state.
        """
        self._peers = dict(peers)

    async def read(self, key, timeout_s):
        """
        Read a register.

        Parameters
        ----------
        key : str
            The register.
        timeout_s : float
            For the whole operation.

        Returns
        -------
        Result of Versioned, Unavailable
            The newest settled content; version 0 and None if never written.
        """
        return await self._operate(ReadOperation(key), timeout_s)

    async def write(self, key, expected_version, value, timeout_s):
        """
        Write a register if it is at an expected version.

        Parameters
        ----------
        key : str
            The register.
        expected_version : int
            As read; 0 for a register never written.
        value : object
            JSON-able; None deletes.
        timeout_s : float
            For the whole operation.

        Returns
        -------
        Result of Versioned, RegisterError
            `Conflict` if it was at another version, `Unavailable` if no majority
            settled it; the latter says whether it may have been written.
        """
        operation = WriteOperation(key, expected_version, value)
        return await self._operate(operation, timeout_s)

    async def collect(self, key, expected_version, timeout_s):
        """
        Delete a register and drop it from all replicas, if all can be reached.

        Parameters
        ----------
        key : str
            The register.
        expected_version : int
            As read.
        timeout_s : float
            For the whole operation.

        Returns
        -------
        Result of Versioned, RegisterError
            As of `write`; a tombstone stays if a replica was away.
        """
        return await self._operate(CollectOperation(key, expected_version), timeout_s)

    async def fetch(self, key, unpack, timeout_s):
        """
        Get a content that proves itself, from any one replica.

        Parameters
        ----------
        key : str
            The register.
        unpack : callable
            Takes the value that a replica holds, and gives what it proves to be;
            None if it proves nothing.
        timeout_s : float
            For each replica asked.

        Returns
        -------
        Result of object, Unavailable
        """
        seats = list(self._peers)
        self._rng.shuffle(seats)
        for seat in seats:
            message = Read(key, f"{self._identity}-fetch")
            with trio.move_on_after(timeout_s):
                try:
                    reply = await self._peers[seat].call(message)
                except PeerFailed:
                    continue
                if not isinstance(reply, ReadReply):
                    continue
                content = unpack(reply.cell.value)
                if content is not None:
                    return Success(content)
        detail = f"none of {', '.join(sorted(seats))} gave {key!r}"
        return Failure(Unavailable(False, detail))

    async def scan(self, prefix, after, limit, timeout_s):
        """
        List registers as one replica has them, which may be behind.

        Parameters
        ----------
        prefix : str
            Of the keys.
        after : str
            Give keys after this one; empty for the first.
        limit : int
            Most keys to give.
        timeout_s : float
            For each replica asked.

        Returns
        -------
        Result of ScanPage, Unavailable
        """
        seats = list(self._peers)
        self._rng.shuffle(seats)
        for seat in seats:
            with trio.move_on_after(timeout_s):
                try:
                    reply = await self._peers[seat].call(Scan(prefix, after, limit))
                except PeerFailed:
                    continue
                if isinstance(reply, ScanPage):
                    return Success(reply)
        detail = f"none of {', '.join(sorted(seats))} listed {prefix!r}"
        return Failure(Unavailable(False, detail))

    async def _operate(self, operation, timeout_s):
        peers = self._peers
        if not peers:
            return Failure(Unavailable(False, "no replica is known yet"))
        self._operations += 1
        proposer = Proposer(
            operation,
            f"{self._identity}-{self._operations}",
            tuple(peers),
            self._rng,
            self._now() + timeout_s,
            self._counter,
            self._times,
        )
        send, replies = trio.open_memory_channel(_REPLIES_HELD)
        with replies:
            self._dispatch(peers, proposer.start(self._now()), send)
            while proposer.result is None:
                await self._step(peers, proposer, send, replies)
        self._counter = max(self._counter, proposer.counter)
        return proposer.result

    async def _step(self, peers, proposer, send, replies):
        step = proposer.tick
        with trio.move_on_after(max(0.0, proposer.wakeup_s - self._now())):
            seat, reply = await replies.receive()
            step = partial(proposer.failed, seat)
            if reply is not None:
                step = partial(proposer.receive, seat, reply)
        self._dispatch(peers, step(self._now()), send)

    def _dispatch(self, peers, outbound, send):
        for out in outbound:
            if self._nursery is None:
                # The process ends: other tasks may come here before they hear so.
                _hand_over(send, out.seat, None)
            else:
                self._nursery.start_soon(_call, peers[out.seat], out, send)


async def _call(peer, out, send):
    try:
        reply = await peer.call(out.message)
    except PeerFailed:
        reply = None
    _hand_over(send, out.seat, reply)


def _hand_over(send, seat, reply):
    try:
        send.send_nowait((seat, reply))
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.WouldBlock):
        # The operation has ended, or so many late replies wait that its next
        # round will go without this one.
        return
