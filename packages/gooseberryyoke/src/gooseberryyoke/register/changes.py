"""Changes of a replica's state, as they stand in its log."""

from gooseberryyoke.record import Record

__all__ = [
    "FloorRaised",
    "Founded",
    "Identified",
    "Joined",
    "PeerSeen",
    "Reclaimed",
    "SeatNamed",
    "SeatTaken",
    "SlotDropped",
    "SlotPromised",
    "SlotStored",
]


class SlotPromised(Record):
    """A promise for a key."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class SlotStored(Record):
    """A whole slot: accepted here, or copied in a repair."""

    __slots__ = ("key", "slot")

    def __init__(self, key, slot):
        self.key = key
        self.slot = slot


class SlotDropped(Record):
    """A collected tombstone; the floor rises to ``floor``."""

    __slots__ = ("key", "floor")

    def __init__(self, key, floor):
        self.key = key
        self.floor = floor


class FloorRaised(Record):
    """A floor taken over in a repair or from a snapshot."""

    __slots__ = ("floor",)

    def __init__(self, floor):
        self.floor = floor


class Identified(Record):
    """The identity of this folder, which holds no state yet."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class Founded(Record):
    """The folder begins with an empty state, together with these."""

    __slots__ = ("founders",)

    def __init__(self, founders):
        self.founders = founders


class Joined(Record):
    """The folder has copied a majority's state."""

    __slots__ = ()


class Reclaimed(Record):
    """
    The folder goes on under a new identity, and must not vote before it has joined.

    Parameters
    ----------
    incarnation : Incarnation
        The new identity.
    former : Incarnation
        The one under which the folder voted last.
    """

    __slots__ = ("incarnation", "former")

    def __init__(self, incarnation, former):
        self.incarnation = incarnation
        self.former = former


class SeatNamed(Record):
    """The highest identity that has begun to copy the state for a seat."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class SeatTaken(Record):
    """An identity that has copied the state and may vote in a seat."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class PeerSeen(Record):
    """The count of records that an identity said it had synced."""

    __slots__ = ("seat", "incarnation", "position")

    def __init__(self, seat, incarnation, position):
        self.seat = seat
        self.incarnation = incarnation
        self.position = position
