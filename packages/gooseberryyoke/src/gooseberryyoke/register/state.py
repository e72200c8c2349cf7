"""A replica's state, built from the changes in its log."""

from bisect import insort
from functools import singledispatchmethod

from sortedcontainers import SortedDict

from gooseberryyoke.register.ballot import NO_BALLOT, Ballot
from gooseberryyoke.register.cell import ABSENT, EMPTY_SLOT, Slot
from gooseberryyoke.register.changes import (
    FloorRaised,
    Founded,
    Identified,
    Joined,
    PeerSeen,
    Reclaimed,
    SeatNamed,
    SeatTaken,
    SlotDropped,
    SlotPromised,
    SlotStored,
)

__all__ = ["COPYING", "FRESH", "READY", "RECLAIMING", "RETURNING", "ReplicaState"]

FRESH = "fresh"
COPYING = "copying"
RETURNING = "returning"
RECLAIMING = "reclaiming"
READY = "ready"


class ReplicaState:
    """
    State of one replica; changed only by `apply`.

    Attributes
    ----------
    seat : str or None
        Configured name; None before the folder has an identity.
    incarnation : Incarnation or None
        Identity of the folder.
    status : str
        ``FRESH`` until the folder has been part of a majority, then ``READY``;
        ``RECLAIMING`` while it takes its seat back from a holder that never joined.
    former : Incarnation or None
        While reclaiming, the identity under which the folder voted last.
    founders : dict of str to Incarnation
        Identities that began with an empty state together.
    roster : dict of str to Incarnation
        The highest identity known of each seat.
    joined : dict of str to list of Incarnation
        The identities of each seat that were confirmed, in ascending order.
    seen : dict
        Position told by each (seat, incarnation).
    floor : int
        Highest ballot counter or version among dropped tombstones.
    slots : SortedDict of str to Slot
        State of each register.
    """

    __slots__ = (
        "seat",
        "incarnation",
        "status",
        "former",
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
        self.founders = {}
        self.roster = {}
        self.joined = {}
        self.seen = {}
        self.floor = 0
        self.slots = SortedDict()

    def slot(self, key):
        """
        Get a key's slot, or what stands for a key without one.

        Parameters
        ----------
        key : str
            The register.

        Returns
        -------
        Slot
        """
        found = self.slots.get(key)
        if found is not None:
            return found
        if self.floor == 0:
            return EMPTY_SLOT
        # A dropped tombstone no longer refuses a delayed Accept of an older
        # value, which would come back from the dead. The floor is at least the
        # tombstone's ballot, and "\uffff" sorts after each proposer's name.
        return Slot(Ballot(self.floor, "\uffff"), NO_BALLOT, ABSENT)

    @singledispatchmethod
    def apply(self, change):
        """
        Take over one change.

        Parameters
        ----------
        change : Record
            One of the classes in `gooseberryyoke.register.changes`.
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
            self._join(seat, incarnation)

    @apply.register
    def _(self, change: Joined):
        self.status = READY
        self.former = None
        self._join(self.seat, self.incarnation)

    @apply.register
    def _(self, change: Reclaimed):
        self.status = RECLAIMING
        self.former = change.former
        self.incarnation = change.incarnation
        self._name(self.seat, change.incarnation)

    @apply.register
    def _(self, change: SeatNamed):
        self._name(change.seat, change.incarnation)

    @apply.register
    def _(self, change: SeatTaken):
        self._join(change.seat, change.incarnation)

    @apply.register
    def _(self, change: PeerSeen):
        self.seen[change.seat, change.incarnation] = change.position

    def _name(self, seat, incarnation):
        known = self.roster.get(seat)
        if known is None or incarnation > known:
            self.roster[seat] = incarnation

    def _join(self, seat, incarnation):
        self._name(seat, incarnation)
        confirmed = self.joined.setdefault(seat, [])
        is_latest = not confirmed or incarnation > confirmed[-1]
        if incarnation not in confirmed:
            # Earlier ones stay: if the latest is withdrawn, they still show whether
            # another holder has joined before it.
            insort(confirmed, incarnation)
        if is_latest:
            # Positions of a holder that was merely named away are kept: it may
            # come back on the folder that they are about.
            self.seen = {
                key: at
                for key, at in self.seen.items()
                if key[0] != seat or key[1] >= incarnation
            }

    def dump(self):
        """
        List the changes that rebuild this state.

        Returns
        -------
        list of Record
            A snapshot; independent of later changes.
        """
        changes = []
        if self.incarnation is not None:
            changes.append(Identified(self.seat, self.incarnation))
        if self.founders:
            changes.append(Founded(dict(self.founders)))
        changes += [SeatNamed(seat, inc) for seat, inc in self.roster.items()]
        for seat, confirmed in self.joined.items():
            changes += [SeatTaken(seat, inc) for inc in confirmed]
        changes += [PeerSeen(*key, at) for key, at in self.seen.items()]
        changes.append(FloorRaised(self.floor))
        changes += [SlotStored(key, slot) for key, slot in self.slots.items()]
        if self.status == READY:
            changes.append(Joined())
        if self.status == RECLAIMING:
            changes.append(Reclaimed(self.incarnation, self.former))
        return changes
