"""Settles who holds the seats of a deployment that starts for the first time."""

from returns.result import Failure, Success
from trio import TASK_STATUS_IGNORED, current_time, open_nursery, sleep

from gooseberryyoke.register import Conflict
from gooseberryyoke.seat import choose_founders, may_propose
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOUNDING_PATH
from gooseberryyoke_daemon.registers import HttpPeer, RegisterClient
from gooseberryyoke_daemon.replica import Replica
from gooseberryyoke_daemon.storage import DiskFailed
from gooseberryyoke_daemon.wire import Address

__all__ = ["Founding", "VoteLost"]

_KEY = "founders"
_OPERATION_S = 0.9
_CALL_TIMEOUT_S = 0.5
_PAUSE_S = 0.1
_TURN_S = 0.3
"""By which each contact lets the one before it propose first."""
_READ_S = 1.0
"""Between two looks at what others may have settled."""
_DISK_PAUSE_S = 1.0


class VoteLost(Exception):
    """The folder of this contact's vote was damaged: it must not vote again."""


class Founding:
    """
    Votes of the contacts on the first holders of all seats.

    The contacts are all that every process knows at the beginning. A majority of them
    settles one list of founders, in a register of their own, so that a contact that is
    down holds nothing up and two parts of a network never found twice.

    Parameters
    ----------
    address : str
        Of this process.
    contacts : tuple of str
        Of the first start, this one's address among them.
    size : int
        Number of seats.
    seats : SeatMap
        Filled once the founders are settled; filled by others as well.
    disk : FolderDisk or MemoryDisk
        For this contact's vote.
    client : HttpClient
    rng : random.Random
    """

    def __init__(self, address, contacts, size, seats, disk, client, rng):
        self._address = address
        self._contacts = tuple(contacts)
        self._size = size
        self._seats = seats
        self._disk = disk
        self._rng = rng
        # Each elector is a group of its own, without peers: it begins at once, and
        # what the proposers count are the electors that answer.
        self._elector = Replica(
            address,
            disk,
            {},
            rng,
            may_found=True,
            forget_founders=self._lose_vote,
            path=FOUNDING_PATH,
        )
        self._registers = RegisterClient(
            {contact: self._peer(contact, client) for contact in self._contacts}, rng
        )

    async def _lose_vote(self):
        raise VoteLost("the folder of a vote on the founders is damaged")

    def _peer(self, contact, client):
        if contact == self._address:
            return self._elector
        target = Address.parse(contact)
        return HttpPeer(client, target, _CALL_TIMEOUT_S, path=FOUNDING_PATH)

    async def handle(self, request):
        """Serve this contact's vote; see `Replica.handle`."""
        return await self._elector.handle(request)

    async def run(self, candidates, task_status=TASK_STATUS_IGNORED):
        """
        Vote, and propose when it is time, until the founders are known.

        Parameters
        ----------
        candidates : callable
            Gives the list of `Candidate` that are there.

        Raises
        ------
        VoteLost
            If this contact's vote can't be read any more.
        """
        task_status.started()
        try:
            async with open_nursery() as nursery:
                await nursery.start(self._elector.run)
                await nursery.start(self._registers.run)
                await self._propose_until_settled(candidates)
                nursery.cancel_scope.cancel()
        except* (DiskFailed, OSError) as group:
            reasons = "; ".join(str(exc) for exc in group.exceptions)
            log_event("founding-vote-ended", level="error", why=reasons)
            await sleep(_DISK_PAUSE_S)

    async def _propose_until_settled(self, candidates):
        began_s = read_s = current_time()
        turn_s = _TURN_S * self._contacts.index(self._address)
        due_s = None
        # They may have been settled before this process was started again.
        await self._settle(None)
        while not self._seats.holders:
            present = candidates()
            now = current_time()
            if not may_propose(len(present), self._size, now - began_s):
                due_s = None
            elif due_s is None:
                due_s = now + turn_s
            if due_s is not None and now >= due_s:
                await self._settle(choose_founders(self._contacts, present, self._size))
            elif now - read_s >= _READ_S:
                read_s = now
                await self._settle(None)
            await sleep(_PAUSE_S)

    async def _settle(self, chosen):
        """Read the founders; write those chosen, if any, unless some are settled."""
        found = await self._registers.read(_KEY, _OPERATION_S)
        if isinstance(found, Failure):
            log_event("founders-unsettled", level="warning", why=str(found.failure()))
            return
        settled = found.unwrap().value
        if settled is None and chosen is not None:
            settled = await self._write(chosen)
        if settled is not None and self._seats.merge(settled):
            log_event("founders-settled", seats=self._seats.to_json())

    async def _write(self, chosen):
        written = await self._registers.write(_KEY, 0, chosen.to_json(), _OPERATION_S)
        if isinstance(written, Success):
            return written.unwrap().value
        if isinstance(written.failure(), Conflict):
            return written.failure().current.value
        log_event("founders-unsettled", level="warning", why=str(written.failure()))
        return None
