"""A replica: the acceptor, its data folder and its way into the majority."""

from itertools import starmap

import orjson
import trio

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.register import Acceptor, ReplicaState, decode, encode
from gooseberryyoke.register.changes import (
    Founded,
    Identified,
    PeerSeen,
    SlotStored,
)
from gooseberryyoke.register.exceptions import UndecodableRecord
from gooseberryyoke.register.messages import (
    Accept,
    Confirm,
    Copy,
    Forget,
    HandOver,
    Hello,
    Prepare,
    Read,
    Release,
    Scan,
    SeatQuery,
)
from gooseberryyoke.register.repair import next_incarnation
from gooseberryyoke.register.state import FRESH, HANDED_OVER, READY
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import REGISTER_PATH, PeerFailed
from gooseberryyoke_daemon.replica.joining import FolderOutdated, Joining
from gooseberryyoke_daemon.storage import DamagedFile, DiskFailed, Journal, recover
from gooseberryyoke_daemon.wire import (
    bad_message_response,
    json_response,
    problem_response,
)

__all__ = ["Replica"]

_METHOD_NOT_ALLOWED = 405
_SHOWN_CHARACTERS = 300
_REQUESTS = (
    Accept,
    Confirm,
    Copy,
    Forget,
    HandOver,
    Hello,
    Prepare,
    Read,
    Release,
    Scan,
    SeatQuery,
)
_UNAVAILABLE = 503
_DEFAULT_HELLO_S = 1.0


class Replica:
    """
    Holds registers for proposers; a peer for `RegisterClient`.

    Parameters
    ----------
    seat : str
        Configured name, the same for whoever holds the seat later.
    disk : FolderDisk or MemoryDisk
        The data folder.
    peers : dict of str to object
        The other seats' replicas.
    rng : random.Random
        Seeded from the system.
    may_found : bool
        Begin with an empty state if all replicas are empty. To be allowed only
        for a new deployment: with all folders lost, claims would be forgotten.
    founders : dict of str to Incarnation, optional
        Identities that were settled for a new deployment. With an empty folder, this
        replica begins as the one of its seat, with an empty state, and waits for
        nobody else to do so.
    forget_founders : async callable, optional
        Called before the folder is emptied: it has voted as a founder, and must not
        begin as that one again.
    on_joining : async callable, optional
        Called before the replica votes for the first time after a copy: whoever runs
        it must find the folder again from here on.
    on_confirming : async callable, optional
        Takes the identity that is about to ask to be confirmed.
    on_withdrawn : async callable, optional
        Takes an identity that has not joined, and never will.
    withdrawn : callable
        Gives the identities that other processes have withdrawn.
    on_stored : callable, optional
        Takes key and value of each register that this replica stores, from its folder,
        a copy or a proposer: accepted, but not always settled.
    path : str
        Under which this replica is served.
    hello_s : float
        Pause between two rounds of telling the peers how far one is.
    snapshot_bytes : int, optional
        See `Journal`.

    Attributes
    ----------
    is_taken_over : bool
        Another process holds the seat now; this replica votes no more.
    yields : bool
        Whether another process that begins to take the seat is let have it.
    offer : SeatOffer or None
        Of the seat's holder, to this replica.

    Notes
    -----
    A folder put back from a copy is noticed if the copy is older than about
    ``hello_s`` before the last acknowledged write.
    """

    def __init__(
        self,
        seat,
        disk,
        peers,
        rng,
        may_found=False,
        founders=None,
        forget_founders=None,
        on_joining=None,
        on_confirming=None,
        on_withdrawn=None,
        withdrawn=frozenset,
        on_stored=None,
        path=REGISTER_PATH,
        hello_s=_DEFAULT_HELLO_S,
        snapshot_bytes=None,
    ):
        self.seat = seat
        self.peers = dict(peers)
        self.rng = rng
        all_seats = frozenset(self.peers) | {seat}
        self.founding = all_seats if may_found else frozenset()
        self.hello_s = hello_s
        self.acceptor = None
        self.journal = None
        self.is_taken_over = False
        self.yields = False
        self.offer = None
        self._disk = disk
        self._founders = founders
        self._forget_founders = forget_founders
        self._on_joining = on_joining
        self._on_confirming = on_confirming
        self._on_withdrawn = on_withdrawn
        self.withdrawn = withdrawn
        self._on_stored = on_stored
        self._path = path
        self._snapshot_bytes = snapshot_bytes
        self._telling = 0

    @property
    def is_ready(self):
        """Whether this replica votes."""
        return self.acceptor is not None and self.acceptor.phase() == READY

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Recover, join the others and serve, until cancelled.

        Parameters
        ----------
        task_status : object
            Told once `call` answers, if only with `NotReady`.

        Raises
        ------
        DiskFailed
            If the disk fails: the role ends, its folder may be damaged.
        """
        replies = []
        while True:
            try:
                await self._live(replies, task_status)
            except* FolderOutdated as group:
                replies = _first(group).replies
                self.acceptor = None
                task_status = trio.TASK_STATUS_IGNORED
                aside = await self._set_aside("outdated")
                log_event("folder-outdated", level="error", seat=self.seat, aside=aside)

    async def _live(self, replies, task_status):
        recovered, state = await self._recover_state()
        self._tell_stored(starmap(SlotStored, state.slots.items()))
        self._start_journal(recovered, state)
        self._telling = recovered.position
        async with trio.open_nursery() as nursery:
            await nursery.start(self.journal.run)
            if state.incarnation is None:
                await self._begin(state, replies)
            elif state.status == FRESH:
                await self._begin_anew(state, replies)
            self.acceptor = Acceptor(state, is_admitted=False)
            task_status.started()
            await Joining(self, self.journal.position).run()

    async def _begin(self, state, replies):
        if self._founders is None:
            await self.identify(state, replies)
            return
        own = self._founders[self.seat]
        log_event(
            "replica-founds",
            seat=self.seat,
            nonce=own.nonce,
            founders=sorted(self._founders),
        )
        await self.record(state, [Identified(self.seat, own), Founded(self._founders)])

    async def _begin_anew(self, state, replies):
        """Leave the identity of a life that did not come to vote."""
        former = state.incarnation
        await self.identify(state, replies)
        if self._on_withdrawn is not None:
            await self._on_withdrawn(former)

    def begin_hand_over(self, successor):
        """
        Let another process take the seat.

        Parameters
        ----------
        successor : str or None
            Its address; None for whoever copies the other seats.
        """
        self.yields = successor is None
        if self.acceptor is not None:
            self.acceptor.offered_to = successor

    def end_hand_over(self):
        """
        Keep the seat, unless a successor has been released.

        Returns
        -------
        bool
            Whether the seat is kept.
        """
        self.yields = False
        if self.acceptor is None:
            return True
        self.acceptor.offered_to = None
        return self.acceptor.take_back()

    @property
    def succession_requests(self):
        """Number of requests of successors so far."""
        return 0 if self.acceptor is None else self.acceptor.succession_requests

    @property
    def is_handed_over(self):
        """Whether a successor votes in the place of this replica."""
        return self.acceptor is not None and self.acceptor.state.status == HANDED_OVER

    @property
    def unjoined(self):
        """The identity of a replica that has never voted, else None."""
        if self.acceptor is None or self.acceptor.state.status != FRESH:
            return None
        return self.acceptor.state.incarnation

    async def before_confirming(self, incarnation):
        """
        Tell whoever runs this replica that others are asked to confirm it.

        Parameters
        ----------
        incarnation : Incarnation
        """
        if self._on_confirming is not None:
            await self._on_confirming(incarnation)

    async def before_joining(self):
        """Tell whoever runs this replica that it is about to vote."""
        if self._on_joining is not None:
            await self._on_joining(self.seat)

    async def _set_aside(self, label):
        self._founders = None
        if self._forget_founders is not None:
            await self._forget_founders()
        return await self._disk.run(self._disk.set_aside, label)

    async def _recover_state(self):
        while True:
            recovered = await self._recover()
            state = ReplicaState()
            for value in recovered.values:
                state.apply(decode(value))
            if state.seat in (None, self.seat):
                return recovered, state
            # The process held another seat, lost it and took this one. Voting on
            # the old folder would count promises that were made for the other seat.
            aside = await self._set_aside("other-seat")
            log_event(
                "folder-of-other-seat",
                level="error",
                seat=self.seat,
                held=state.seat,
                aside=aside,
            )

    def _start_journal(self, recovered, state):
        limits = {}
        if self._snapshot_bytes is not None:
            limits["snapshot_bytes"] = self._snapshot_bytes
        self.journal = Journal(self._disk, recovered, state.dump, encode, **limits)

    async def _recover(self):
        try:
            return await self._disk.run(recover, self._disk)
        except DamagedFile as exc:
            # Cutting at the damage would forget what was acknowledged after it:
            # the folder takes a new identity and copies the state of the others.
            aside = await self._set_aside("damaged")
            log_event(
                "folder-damaged",
                level="error",
                seat=self.seat,
                aside=aside,
                detail=str(exc),
            )
            return await self._disk.run(recover, self._disk)

    async def identify(self, state, replies):
        """
        Take a new identity, above every one known for the seat.

        Parameters
        ----------
        state : ReplicaState
            Of a folder that has never been part of a majority.
        replies : list of HelloReply
            From the other seats; may be empty.
        """
        incarnation = next_incarnation(self.seat, replies, self.rng)
        log_event(
            "replica-identified",
            seat=self.seat,
            generation=incarnation.generation,
            nonce=incarnation.nonce,
        )
        await self.record(state, [Identified(self.seat, incarnation)])

    async def record(self, state, changes):
        """
        Apply changes and sync them.

        Parameters
        ----------
        state : ReplicaState
            To apply to.
        changes : list of Record
            Not yet applied.
        """
        for change in changes:
            state.apply(change)
        self._append(changes)
        await self.journal.sync(self.journal.position)

    def _tell_stored(self, changes):
        if self._on_stored is None:
            return
        for change in changes:
            if isinstance(change, SlotStored):
                self._on_stored(change.key, change.slot.cell.value)

    def _append(self, changes):
        self._tell_stored(changes)
        for change in changes:
            position = self.journal.append(change)
            if not isinstance(change, PeerSeen):
                self._telling = position

    def telling_position(self):
        """
        Give the position to tell peers: synced, and still while nothing happens.

        Returns
        -------
        int
        """
        return min(self._telling, self.journal.synced)

    async def call(self, message):
        """
        Answer a message once all that the answer rests on is synced.

        Parameters
        ----------
        message : Record
            A request of `gooseberryyoke.register.messages`.

        Returns
        -------
        Record

        Raises
        ------
        PeerFailed
            If this replica has not started, or its disk failed.
        """
        replies = await self._answer([message])
        return replies[0]

    async def _answer(self, messages):
        if self.acceptor is None:
            raise PeerFailed(f"replica {self.seat} has not started")
        answers = []
        for message in messages:
            answers.append(self.acceptor.handle(message))
            self._append(answers[-1].changes)
        # Also a read waits: it may show a cell of another call that is not synced
        # yet, and that a crash would take back after the reader was told.
        try:
            await self.journal.sync(self.journal.position)
        except DiskFailed as exc:
            raise PeerFailed(f"replica {self.seat}: {exc}") from exc
        return [answer.reply for answer in answers]

    async def handle(self, request):
        """
        Serve the replica's route.

        Parameters
        ----------
        request : Request
            With a verified signature.

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != self._path:
            return None
        if request.method != "POST":
            detail = f"found {request.method}, expected POST"
            refused = Refusal(Verdict.NOT_RUN, _METHOD_NOT_ALLOWED, "method", detail)
            return problem_response(refused)
        try:
            messages = [_request_of(item) for item in orjson.loads(request.body)]
            replies = await self._answer(messages)
        except (UndecodableRecord, orjson.JSONDecodeError, TypeError) as exc:
            return bad_message_response(str(exc)[:_SHOWN_CHARACTERS])
        except PeerFailed as exc:
            detail = {"reason": "replica-failed", "detail": str(exc)}
            return json_response(_UNAVAILABLE, detail)
        return json_response(200, [encode(reply) for reply in replies])


def _request_of(item):
    # All are decoded before any is answered, so that a batch with a malformed
    # message leaves no trace of the others.
    message = decode(item)
    if not isinstance(message, _REQUESTS):
        raise UndecodableRecord(f"{item[0]} is no request to a replica")
    return message


def _first(group):
    exc = group.exceptions[0]
    return _first(exc) if isinstance(exc, BaseExceptionGroup) else exc
