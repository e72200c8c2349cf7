"""Changes of a replica's state, in the form stored in its log."""

from gooseberryyoke.record import Record

__all__ = [
    "FloorRaised",
    "Founded",
    "HandedOver",
    "Identified",
    "Joined",
    "PeerSeen",
    "Reclaimed",
    "Resumed",
    "SeatNamed",
    "SeatTaken",
    "SlotDropped",
    "SlotPromised",
    "SlotStored",
]


class SlotPromised(Record):
    """Promise given for a key."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class SlotStored(Record):
    """Whole slot, either accepted by this replica or copied in a repair."""

    __slots__ = ("key", "slot")

    def __init__(self, key, slot):
        self.key = key
        self.slot = slot


class SlotDropped(Record):
    """Removal of a collected tombstone, which raises the floor to ``floor``."""

    __slots__ = ("key", "floor")

    def __init__(self, key, floor):
        self.key = key
        self.floor = floor


class FloorRaised(Record):
    """Floor copied in a repair or read from a snapshot."""

    __slots__ = ("floor",)

    def __init__(self, floor):
        self.floor = floor


class Identified(Record):
    """Identity given to this folder before it holds any state."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class Founded(Record):
    """Start of the folder with an empty state, together with the other founders."""

    __slots__ = ("founders",)

    def __init__(self, founders):
        self.founders = founders


class Joined(Record):
    """Completion of the copy of a majority's state; the replica may vote."""

    __slots__ = ()


class Reclaimed(Record):
    """
    Continuation of the folder under a new identity.

    The replica must not vote under it before it has joined.

    Parameters
    ----------
    incarnation : Incarnation
        The new identity.
    former : Incarnation
        Identity under which the folder voted last.
    """

    __slots__ = ("incarnation", "former")

    def __init__(self, incarnation, former):
        self.incarnation = incarnation
        self.former = former


class HandedOver(Record):
    """
    End of this replica's votes, in favour of its successor.

    Parameters
    ----------
    successor : Incarnation
        Identity that holds a whole copy and votes from now on.
    """

    __slots__ = ("successor",)

    def __init__(self, successor):
        self.successor = successor


class Resumed(Record):
    """Return of a replica whose successor has withdrawn without having voted."""

    __slots__ = ()


class SeatNamed(Record):
    """Highest identity that has begun to copy the state for a seat."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class SeatTaken(Record):
    """Identity that has copied the state and may vote in a seat."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class PeerSeen(Record):
    """Number of synced records reported by an identity."""

    __slots__ = ("seat", "incarnation", "position")

    def __init__(self, seat, incarnation, position):
        self.seat = seat
        self.incarnation = incarnation
        self.position = position
