"""Messages between proposers and replicas."""

from gooseberryyoke.record import Record

__all__ = [
    "Accept",
    "Accepted",
    "Confirm",
    "Confirmed",
    "Copy",
    "CopyPage",
    "Forget",
    "Forgotten",
    "Hello",
    "HelloReply",
    "KeyedSlot",
    "NotReady",
    "Prepare",
    "Promise",
    "Read",
    "ReadReply",
    "Rejected",
    "Scan",
    "ScanPage",
    "SeatQuery",
    "SeatReport",
]


class Prepare(Record):
    """Ask for a promise to refuse lower ballots, and for what was accepted."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class Accept(Record):
    """Ask to take over a cell under a ballot."""

    __slots__ = ("key", "ballot", "cell")

    def __init__(self, key, ballot, cell):
        self.key = key
        self.ballot = ballot
        self.cell = cell


class Read(Record):
    """Ask for what was accepted, without a promise."""

    __slots__ = ("key", "nonce")

    def __init__(self, key, nonce):
        self.key = key
        self.nonce = nonce


class Forget(Record):
    """Ask to drop a tombstone that every replica accepted under ``ballot``."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class Scan(Record):
    """Ask for the keys with a prefix, after a key, in order; a dirty read."""

    __slots__ = ("prefix", "after", "limit")

    def __init__(self, prefix, after, limit):
        self.prefix = prefix
        self.after = after
        self.limit = limit


class Hello(Record):
    """
    Tell who one is and how much one has synced; ask for the other's view.

    Parameters
    ----------
    seat : str
        The sender's seat.
    incarnation : Incarnation
        The sender's identity.
    position : int
        Count of records that the sender has synced.
    fresh : bool
        The sender's folder has never been part of a majority.
    """

    __slots__ = ("seat", "incarnation", "position", "fresh")

    def __init__(self, seat, incarnation, position, fresh):
        self.seat = seat
        self.incarnation = incarnation
        self.position = position
        self.fresh = fresh


class Copy(Record):
    """Ask for a page of all slots, for the new holder of a seat."""

    __slots__ = ("seat", "incarnation", "after", "limit")

    def __init__(self, seat, incarnation, after, limit):
        self.seat = seat
        self.incarnation = incarnation
        self.after = after
        self.limit = limit


class Confirm(Record):
    """Ask to note that the new holder of a seat has copied the state."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class SeatQuery(Record):
    """Ask which identities have confirmed that they hold a seat."""

    __slots__ = ()


class Promise(Record):
    """
    Grant a `Prepare`.

    Parameters
    ----------
    sender : Stamp
        The replica.
    ballot : Ballot
        The promised ballot.
    accepted : Ballot
        Attempt that wrote ``cell``.
    cell : Cell
        Content as accepted.
    copied : bool
        See `Slot`.
    floor : int
        Highest ballot counter or version among dropped tombstones.
    """

    __slots__ = ("sender", "ballot", "accepted", "cell", "copied", "floor")

    def __init__(self, sender, ballot, accepted, cell, copied, floor):
        self.sender = sender
        self.ballot = ballot
        self.accepted = accepted
        self.cell = cell
        self.copied = copied
        self.floor = floor


class Accepted(Record):
    """Confirm an `Accept`; synced."""

    __slots__ = ("sender", "ballot")

    def __init__(self, sender, ballot):
        self.sender = sender
        self.ballot = ballot


class Rejected(Record):
    """Refuse a `Prepare` or `Accept`, naming the ballot that stands above it."""

    __slots__ = ("sender", "ballot", "promised")

    def __init__(self, sender, ballot, promised):
        self.sender = sender
        self.ballot = ballot
        self.promised = promised


class ReadReply(Record):
    """Answer a `Read`; fields as of `Promise`."""

    __slots__ = ("sender", "nonce", "accepted", "cell", "copied")

    def __init__(self, sender, nonce, accepted, cell, copied):
        self.sender = sender
        self.nonce = nonce
        self.accepted = accepted
        self.cell = cell
        self.copied = copied


class Forgotten(Record):
    """Answer a `Forget`; ``dropped`` is false if the key was in use again."""

    __slots__ = ("sender", "ballot", "dropped")

    def __init__(self, sender, ballot, dropped):
        self.sender = sender
        self.ballot = ballot
        self.dropped = dropped


class KeyedSlot(Record):
    """A key and its slot in a page."""

    __slots__ = ("key", "slot")

    def __init__(self, key, slot):
        self.key = key
        self.slot = slot


class ScanPage(Record):
    """A page of a `Scan`; ``more`` tells whether keys follow."""

    __slots__ = ("sender", "slots", "more")

    def __init__(self, sender, slots, more):
        self.sender = sender
        self.slots = slots
        self.more = more


class CopyPage(Record):
    """A page of a `Copy`; the sender's roster names the new holder already."""

    __slots__ = ("sender", "slots", "more", "floor")

    def __init__(self, sender, slots, more, floor):
        self.sender = sender
        self.slots = slots
        self.more = more
        self.floor = floor


class Confirmed(Record):
    """Confirm a `Confirm`; synced."""

    __slots__ = ("sender", "incarnation")

    def __init__(self, sender, incarnation):
        self.sender = sender
        self.incarnation = incarnation


class SeatReport(Record):
    """
    Answer a `SeatQuery`.

    Parameters
    ----------
    sender : Stamp
        The replica.
    joined : dict of str to list of Incarnation
        By seat, the identities that were confirmed, in ascending order.
    """

    __slots__ = ("sender", "joined")

    def __init__(self, sender, joined):
        self.sender = sender
        self.joined = joined


class HelloReply(Record):
    """
    Answer a `Hello`.

    Parameters
    ----------
    sender : Stamp
        The replica.
    state : str
        ``fresh``, ``copying``, ``returning`` or ``ready``.
    seen_position : int
        Highest position that the asking incarnation has told before.
    founders : dict of str to Incarnation
        The identities that began with an empty state together; empty if unknown.
    """

    __slots__ = ("sender", "state", "seen_position", "founders")

    def __init__(self, sender, state, seen_position, founders):
        self.sender = sender
        self.state = state
        self.seen_position = seen_position
        self.founders = founders


class NotReady(Record):
    """Refuse: the replica has not copied a majority's state yet."""

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender
