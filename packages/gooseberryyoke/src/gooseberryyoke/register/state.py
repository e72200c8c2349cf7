"""State of a replica, rebuilt from the changes in its log."""

from bisect import insort
from functools import singledispatchmethod

from sortedcontainers import SortedDict

from gooseberryyoke.register.ballot import NO_BALLOT, Ballot
from gooseberryyoke.register.cell import ABSENT, EMPTY_SLOT, Slot
from gooseberryyoke.register.changes import (
    FloorRaised,
    Founded,
    HandedOver,
    Identified,
    Joined,
    PeerSeen,
    Reclaimed,
    Resumed,
    SeatNamed,
    SeatTaken,
    SlotDropped,
    SlotPromised,
    SlotStored,
)

__all__ = [
    "COPYING",
    "FRESH",
    "HANDED_OVER",
    "READY",
    "RECLAIMING",
    "RETURNING",
    "ReplicaState",
]

FRESH = "fresh"
COPYING = "copying"
RETURNING = "returning"
RECLAIMING = "reclaiming"
READY = "ready"
HANDED_OVER = "handed-over"


class ReplicaState:
    """
    State of one replica, modified only by `apply`.

    Attributes
    ----------
    seat : str or None
        Name of the seat; None before the folder has an identity.
    incarnation : Incarnation or None
        Identity of the folder; None before it has one.
    status : str
        ``FRESH`` until the folder has been part of a majority, then ``READY``;
        ``RECLAIMING`` while the replica regains its seat from a holder that never
        joined, ``HANDED_OVER`` once its successor votes in its place.
    former : Incarnation or None
        Identity under which the folder voted last; set only while reclaiming.
    successor : Incarnation or None
        Identity to which the seat was handed over.
    founders : dict of str to Incarnation
        Identities that began together with an empty state.
    roster : dict of str to Incarnation
        Highest identity known of each seat.
    joined : dict of str to list of Incarnation
        Confirmed identities of each seat, in ascending order.
    seen : dict
        Highest position reported, by (seat, incarnation).
    floor : int
        Highest ballot counter or version of all dropped tombstones.
    slots : SortedDict of str to Slot
        State of each register.
    """

    __slots__ = (
        "seat",
        "incarnation",
        "status",
        "former",
        "successor",
        "founders",
        "roster",
        "joined",
        "seen",
        "floor",
        "slots",
    )

    def __init__(self):
        self.seat = None
        self.incarnation = None
        self.status = FRESH
        self.former = None
        self.successor = None
        self.founders = {}
        self.roster = {}
        self.joined = {}
        self.seen = {}
        self.floor = 0
        self.slots = SortedDict()

    def slot(self, key):
        """
        Return the slot of a key, or a default slot for a key without one.

        Parameters
        ----------
        key : str
            Key of the register.

        Returns
        -------
        Slot
        """
        found = self.slots.get(key)
        if found is not None:
            return found
        if self.floor == 0:
            return EMPTY_SLOT
        # A dropped tombstone no longer refuses a delayed Accept of an older value,
        # which would restore a deleted value. The floor is at least the counter of the
        # tombstone's ballot, and "\uffff" sorts after the name of every proposer.
        return Slot(Ballot(self.floor, "\uffff"), NO_BALLOT, ABSENT)

    @singledispatchmethod
    def apply(self, change):
        """
        Apply one change.

        Parameters
        ----------
        change : Record
            Instance of a class of `gooseberryyoke.register.changes`.
        """
        raise TypeError(f"{change!r} is not a change of a replica's state")

    @apply.register
    def _(self, change: SlotPromised):
        self.slots[change.key] = self.slot(change.key).replace(promised=change.ballot)

    @apply.register
    def _(self, change: SlotStored):
        self.slots[change.key] = change.slot

    @apply.register
    def _(self, change: SlotDropped):
        self.slots.pop(change.key, None)
        self.floor = max(self.floor, change.floor)

    @apply.register
    def _(self, change: FloorRaised):
        self.floor = max(self.floor, change.floor)

    @apply.register
    def _(self, change: Identified):
        self.seat = change.seat
        self.incarnation = change.incarnation
        self.roster[change.seat] = change.incarnation

    @apply.register
    def _(self, change: Founded):
        self.founders = dict(change.founders)
        self.status = READY
        for seat, incarnation in self.founders.items():
            self._record_joined(seat, incarnation)

    @apply.register
    def _(self, change: Joined):
        self.status = READY
        self.former = None
        self._record_joined(self.seat, self.incarnation)

    @apply.register
    def _(self, change: Reclaimed):
        self.status = RECLAIMING
        self.former = change.former
        self.incarnation = change.incarnation
        self._record_holder(self.seat, change.incarnation)

    @apply.register
    def _(self, change: HandedOver):
        self.status = HANDED_OVER
        self.successor = change.successor

    @apply.register
    def _(self, change: Resumed):
        self.status = READY
        self.successor = None

    @apply.register
    def _(self, change: SeatNamed):
        self._record_holder(change.seat, change.incarnation)

    @apply.register
    def _(self, change: SeatTaken):
        self._record_joined(change.seat, change.incarnation)

    @apply.register
    def _(self, change: PeerSeen):
        self.seen[change.seat, change.incarnation] = change.position

    def _record_holder(self, seat, incarnation):
        known = self.roster.get(seat)
        if known is None or incarnation > known:
            self.roster[seat] = incarnation

    def _record_joined(self, seat, incarnation):
        self._record_holder(seat, incarnation)
        confirmed = self.joined.setdefault(seat, [])
        is_latest = not confirmed or incarnation > confirmed[-1]
        if incarnation not in confirmed:
            # Earlier identities are kept: if the latest is withdrawn, they still show
            # whether another holder has joined before it.
            insort(confirmed, incarnation)
        if is_latest:
            # Positions are removed only once a later identity has joined, not when it
            # is merely named: until then the earlier holder may return with the folder
            # that they refer to.
            self.seen = {
                key: position
                for key, position in self.seen.items()
                if key[0] != seat or key[1] >= incarnation
            }

    def dump(self):
        """
        Return the changes that rebuild this state.

        Returns
        -------
        list of Record
            Snapshot of the state, unaffected by later changes.
        """
        changes = []
        if self.incarnation is not None:
            changes.append(Identified(self.seat, self.incarnation))
        if self.founders:
            changes.append(Founded(dict(self.founders)))
        changes += [SeatNamed(seat, inc) for seat, inc in self.roster.items()]
        for seat, confirmed in self.joined.items():
            changes += [SeatTaken(seat, inc) for inc in confirmed]
        changes += [PeerSeen(*key, position) for key, position in self.seen.items()]
        changes.append(FloorRaised(self.floor))
        changes += [SlotStored(key, slot) for key, slot in self.slots.items()]
        if self.status in (READY, HANDED_OVER):
            changes.append(Joined())
        if self.status == HANDED_OVER:
            changes.append(HandedOver(self.successor))
        if self.status == RECLAIMING:
            changes.append(Reclaimed(self.incarnation, self.former))
        return changes
