"""State machine of a replica that answers proposers and peers."""

from functools import singledispatchmethod
from itertools import islice

from gooseberryyoke.record import Record
from gooseberryyoke.register.cell import Slot
from gooseberryyoke.register.changes import (
    HandedOver,
    PeerSeen,
    SeatNamed,
    SeatTaken,
    SlotDropped,
    SlotPromised,
    SlotStored,
)
from gooseberryyoke.register.identity import SenderView
from gooseberryyoke.register.messages import (
    Accept,
    Accepted,
    Confirm,
    Confirmed,
    Copy,
    CopyPage,
    Forget,
    Forgotten,
    HandingOver,
    HandOver,
    Hello,
    HelloReply,
    KeyedSlot,
    NotReady,
    Prepare,
    Promise,
    Read,
    ReadReply,
    Rejected,
    Release,
    Released,
    Scan,
    ScanPage,
    SeatQuery,
    SeatReport,
)
from gooseberryyoke.register.state import (
    COPYING,
    FRESH,
    HANDED_OVER,
    READY,
    RECLAIMING,
    RETURNING,
)

__all__ = ["Acceptor", "Answer"]

_ALLOWED_BEFORE_READY = (Hello,)
_OF_SUCCESSION = (HandOver, Release)


class Answer(Record):
    """
    Reply, with the changes that must be synced before it is sent.

    Parameters
    ----------
    reply : Record
        Reply to be sent once everything logged so far is synced, even if ``changes``
        is empty.
    changes : tuple of Record
        Changes to be logged, already applied to the state in memory.
    """

    __slots__ = ("reply", "changes")

    def __init__(self, reply, changes=()):
        self.reply = reply
        self.changes = tuple(changes)


class Acceptor:
    """
    State machine of one replica.

    Parameters
    ----------
    state : ReplicaState
        State rebuilt from the data folder; it has an identity.
    is_admitted : bool
        Whether the folder has been compared with the positions recorded by its peers.

    Attributes
    ----------
    offered_to : str or None
        Address of the process that may be granted a `HandOver`.
    successor : Incarnation or None
        Identity that copies this replica, which doesn't vote meanwhile.
    succession_requests : int
        Number of requests of successors, as a sign of their progress.
    """

    __slots__ = (
        "state",
        "is_admitted",
        "offered_to",
        "successor",
        "succession_requests",
    )

    def __init__(self, state, is_admitted=True):
        self.state = state
        self.is_admitted = is_admitted
        self.offered_to = None
        self.successor = None
        self.succession_requests = 0

    def phase(self):
        """
        Return the phase of this replica on its way to voting.

        Returns
        -------
        str
            ``READY`` if it votes; else ``FRESH``, ``COPYING`` or ``RETURNING``.
        """
        if self.state.status == READY:
            is_voting = self.is_admitted and self.successor is None
            return READY if is_voting else RETURNING
        if self.state.status in (RECLAIMING, HANDED_OVER):
            return RETURNING
        return COPYING if self.state.slots else FRESH

    def sender_view(self):
        """
        Return this replica's identity and its view of the other seats.

        Returns
        -------
        SenderView
        """
        state = self.state
        return SenderView(state.seat, state.incarnation, dict(state.roster))

    def handle(self, message):
        """
        Answer a request and apply the resulting changes.

        Parameters
        ----------
        message : Record
            Request, one of the classes in `gooseberryyoke.register.messages`.

        Returns
        -------
        Answer
            Reply and changes to sync first.
        """
        if self._is_of_succession(message):
            answer = self._succession_answer(message)
            for change in answer.changes:
                self.state.apply(change)
            return answer
        if self.phase() != READY and not isinstance(message, _ALLOWED_BEFORE_READY):
            # If an empty or copying replica voted, a majority could lose a decided
            # value.
            return Answer(NotReady(self.sender_view()))
        answer = self._answer(message)
        for change in answer.changes:
            self.state.apply(change)
        if answer.changes:
            return Answer(self._with_current_sender(answer.reply), answer.changes)
        return answer

    def _is_of_succession(self, message):
        is_own_copy = isinstance(message, Copy) and message.seat == self.state.seat
        return is_own_copy or isinstance(message, _OF_SUCCESSION)

    def _succession_answer(self, message):
        """
        Answer a successor, to whom alone this replica is open while it is copied.

        If it went on voting, its successor would lack the votes since the copy.
        """
        if message.seat != self.state.seat:
            return Answer(NotReady(self.sender_view()))
        self.succession_requests += 1
        return self._answer_successor(message)

    def take_back(self):
        """
        Vote again, unless the successor has been released.

        A successor that asks to be released later is refused, as its copy lacks what is
        voted for from here on.

        Returns
        -------
        bool
            Whether the seat is still this replica's.
        """
        self.successor = None
        return self.state.status != HANDED_OVER

    @singledispatchmethod
    def _answer_successor(self, message):
        raise TypeError(f"{message!r} is not a request of a successor")

    @_answer_successor.register
    def _(self, message: HandOver):
        incarnation = self.state.incarnation.succeeded_by(message.nonce)
        if self.successor != incarnation:
            is_holder = self.state.status == READY and self.is_admitted
            if not is_holder or message.address != self.offered_to:
                return Answer(NotReady(self.sender_view()))
            # A later successor excludes the one before.
            self.successor = incarnation
        return Answer(HandingOver(self.sender_view(), incarnation))

    @_answer_successor.register
    def _(self, message: Copy):
        if message.incarnation != self.successor:
            return Answer(NotReady(self.sender_view()))
        return Answer(self._copy_page(message))

    @_answer_successor.register
    def _(self, message: Release):
        reply = Released(self.sender_view(), self._joined())
        if self.state.successor == message.incarnation:
            return Answer(reply)
        is_holder = self.state.status == READY and self.is_admitted
        # A holder that has reclaimed its seat meanwhile is above that successor.
        is_next = message.incarnation > self.state.incarnation
        if not (message.incarnation == self.successor and is_holder and is_next):
            return Answer(NotReady(self.sender_view()))
        return Answer(reply, [HandedOver(message.incarnation)])

    def _with_current_sender(self, reply):
        return reply.replace(sender=self.sender_view())

    @singledispatchmethod
    def _answer(self, message):
        raise TypeError(f"{message!r} is not a request to a replica")

    @_answer.register
    def _(self, message: Prepare):
        slot = self.state.slot(message.key)
        if message.ballot < slot.promised:
            return Answer(Rejected(self.sender_view(), message.ballot, slot.promised))
        reply = Promise(
            self.sender_view(),
            message.ballot,
            slot.accepted,
            slot.cell,
            slot.copied,
            self.state.floor,
        )
        if message.ballot == slot.promised:
            return Answer(reply)
        return Answer(reply, [SlotPromised(message.key, message.ballot)])

    @_answer.register
    def _(self, message: Accept):
        slot = self.state.slot(message.key)
        if message.ballot < slot.promised:
            return Answer(Rejected(self.sender_view(), message.ballot, slot.promised))
        reply = Accepted(self.sender_view(), message.ballot)
        if message.ballot == slot.accepted and not slot.copied:
            return Answer(reply)
        stored = Slot(message.ballot, message.ballot, message.cell)
        return Answer(reply, [SlotStored(message.key, stored)])

    @_answer.register
    def _(self, message: Read):
        slot = self.state.slot(message.key)
        return Answer(
            ReadReply(
                self.sender_view(), message.nonce, slot.accepted, slot.cell, slot.copied
            )
        )

    @_answer.register
    def _(self, message: Forget):
        slot = self.state.slots.get(message.key)
        dropped = (
            slot is not None
            and slot.accepted == message.ballot
            and slot.promised == message.ballot
            and slot.cell.value is None
        )
        reply = Forgotten(self.sender_view(), message.ballot, dropped)
        if not dropped:
            return Answer(reply)
        floor = max(message.ballot.counter, slot.cell.version)
        return Answer(reply, [SlotDropped(message.key, floor)])

    @_answer.register
    def _(self, message: Scan):
        def has_prefix(key):
            return key.startswith(message.prefix)

        start = max(message.after, message.prefix)
        keys = self.state.slots.irange(minimum=start)
        found = []
        for key in keys:
            if key > message.prefix and not has_prefix(key):
                break
            if key > message.after and has_prefix(key):
                found.append(key)
            if len(found) > message.limit:
                break
        page, more = self._page(found, message.limit)
        return Answer(ScanPage(self.sender_view(), page, more))

    @_answer.register
    def _(self, message: Copy):
        known = self.state.roster.get(message.seat)
        if known is not None and known > message.incarnation:
            return Answer(NotReady(self.sender_view()))
        reply = self._copy_page(message)
        if known == message.incarnation:
            return Answer(reply)
        # From here on every reply names the new holder. Otherwise a majority could be
        # counted from replies of the predecessor although the new holder copied its
        # state before them.
        return Answer(reply, [SeatNamed(message.seat, message.incarnation)])

    @_answer.register
    def _(self, message: Confirm):
        known = self.state.roster.get(message.seat)
        if known is not None and known > message.incarnation:
            return Answer(NotReady(self.sender_view()))
        reply = Confirmed(self.sender_view(), message.incarnation)
        if message.incarnation in self.state.joined.get(message.seat, ()):
            return Answer(reply)
        return Answer(reply, [SeatTaken(message.seat, message.incarnation)])

    @_answer.register
    def _(self, message: SeatQuery):
        return Answer(SeatReport(self.sender_view(), self._joined()))

    @_answer.register
    def _(self, message: Hello):
        seen_key = (message.seat, message.incarnation)
        seen = self.state.seen.get(seen_key, 0)
        reply = HelloReply(
            self.sender_view(), self.phase(), seen, dict(self.state.founders)
        )
        if message.fresh or message.position <= seen:
            return Answer(reply)
        change = PeerSeen(message.seat, message.incarnation, message.position)
        return Answer(reply, [change])

    def _joined(self):
        return {seat: list(incs) for seat, incs in self.state.joined.items()}

    def _copy_page(self, message):
        after = message.after or None
        keys = self.state.slots.irange(minimum=after, inclusive=(False, True))
        page, more = self._page(list(islice(keys, message.limit + 1)), message.limit)
        return CopyPage(self.sender_view(), page, more, self.state.floor)

    def _page(self, keys, limit):
        slots = self.state.slots
        page = [KeyedSlot(key, slots[key]) for key in keys[:limit]]
        return page, len(keys) > limit
