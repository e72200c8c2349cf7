"""Messages between proposers and replicas, and between replicas."""

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
    "HandOver",
    "HandingOver",
    "Hello",
    "HelloReply",
    "KeyedSlot",
    "NotReady",
    "Prepare",
    "Promise",
    "Read",
    "ReadReply",
    "Rejected",
    "Release",
    "Released",
    "Scan",
    "ScanPage",
    "SeatQuery",
    "SeatReport",
]


class Prepare(Record):
    """Request for a promise to refuse lower ballots, and for the accepted cell."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class Accept(Record):
    """Request to accept a cell under a ballot."""

    __slots__ = ("key", "ballot", "cell")

    def __init__(self, key, ballot, cell):
        self.key = key
        self.ballot = ballot
        self.cell = cell


class Read(Record):
    """Request for the accepted cell, without a promise."""

    __slots__ = ("key", "nonce")

    def __init__(self, key, nonce):
        self.key = key
        self.nonce = nonce


class Forget(Record):
    """Request to drop a tombstone that every replica accepted under ``ballot``."""

    __slots__ = ("key", "ballot")

    def __init__(self, key, ballot):
        self.key = key
        self.ballot = ballot


class Scan(Record):
    """Request for slots by key prefix, after a key and in order; a dirty read."""

    __slots__ = ("prefix", "after", "limit")

    def __init__(self, prefix, after, limit):
        self.prefix = prefix
        self.after = after
        self.limit = limit


class Hello(Record):
    """
    Announcement of a replica's identity and position, and request for the peer's view.

    Parameters
    ----------
    seat : str
        The sender's seat.
    incarnation : Incarnation
        The sender's identity.
    position : int
        Number of records that the sender has synced.
    fresh : bool
        Whether the sender's folder has never been part of a majority.
    """

    __slots__ = ("seat", "incarnation", "position", "fresh")

    def __init__(self, seat, incarnation, position, fresh):
        self.seat = seat
        self.incarnation = incarnation
        self.position = position
        self.fresh = fresh


class Copy(Record):
    """Request for a page of all slots, sent by the new holder of a seat."""

    __slots__ = ("seat", "incarnation", "after", "limit")

    def __init__(self, seat, incarnation, after, limit):
        self.seat = seat
        self.incarnation = incarnation
        self.after = after
        self.limit = limit


class Confirm(Record):
    """Request to record that the new holder of a seat has copied the state."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class HandOver(Record):
    """
    Request of a successor that the holder of a seat stops voting and is copied.

    Parameters
    ----------
    seat : str
    address : str
        Of the successor's process.
    nonce : str
        Distinguishes the successors of one holder.
    """

    __slots__ = ("seat", "address", "nonce")

    def __init__(self, seat, address, nonce):
        self.seat = seat
        self.address = address
        self.nonce = nonce


class Release(Record):
    """Request of a successor that has copied all to vote in the holder's place."""

    __slots__ = ("seat", "incarnation")

    def __init__(self, seat, incarnation):
        self.seat = seat
        self.incarnation = incarnation


class SeatQuery(Record):
    """Request for the identities that are confirmed as holders of each seat."""

    __slots__ = ()


class Promise(Record):
    """
    Grant of a `Prepare`.

    Parameters
    ----------
    sender : SenderView
        The replying replica.
    ballot : Ballot
        The promised ballot.
    accepted : Ballot
        Ballot under which ``cell`` was accepted.
    cell : Cell
        Accepted content.
    copied : bool
        See `Slot`.
    floor : int
        Highest ballot counter or version of all dropped tombstones.
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
    """Confirmation of an `Accept`, sent after its change is synced."""

    __slots__ = ("sender", "ballot")

    def __init__(self, sender, ballot):
        self.sender = sender
        self.ballot = ballot


class Rejected(Record):
    """Refusal of a `Prepare` or `Accept`, with the higher ballot promised before."""

    __slots__ = ("sender", "ballot", "promised")

    def __init__(self, sender, ballot, promised):
        self.sender = sender
        self.ballot = ballot
        self.promised = promised


class ReadReply(Record):
    """Reply to a `Read`; see `Promise` for the fields."""

    __slots__ = ("sender", "nonce", "accepted", "cell", "copied")

    def __init__(self, sender, nonce, accepted, cell, copied):
        self.sender = sender
        self.nonce = nonce
        self.accepted = accepted
        self.cell = cell
        self.copied = copied


class Forgotten(Record):
    """Reply to a `Forget`; ``dropped`` is false if the key was in use again."""

    __slots__ = ("sender", "ballot", "dropped")

    def __init__(self, sender, ballot, dropped):
        self.sender = sender
        self.ballot = ballot
        self.dropped = dropped


class KeyedSlot(Record):
    """Key and slot, as an entry of a page."""

    __slots__ = ("key", "slot")

    def __init__(self, key, slot):
        self.key = key
        self.slot = slot


class ScanPage(Record):
    """Page of a `Scan`; ``more`` tells whether further keys follow."""

    __slots__ = ("sender", "slots", "more")

    def __init__(self, sender, slots, more):
        self.sender = sender
        self.slots = slots
        self.more = more


class CopyPage(Record):
    """Page of a `Copy`; the sender's roster already names the new holder."""

    __slots__ = ("sender", "slots", "more", "floor")

    def __init__(self, sender, slots, more, floor):
        self.sender = sender
        self.slots = slots
        self.more = more
        self.floor = floor


class Confirmed(Record):
    """Confirmation of a `Confirm`, sent after its change is synced."""

    __slots__ = ("sender", "incarnation")

    def __init__(self, sender, incarnation):
        self.sender = sender
        self.incarnation = incarnation


class HandingOver(Record):
    """Grant of a `HandOver`: the sender votes no more while its successor copies."""

    __slots__ = ("sender", "incarnation")

    def __init__(self, sender, incarnation):
        self.sender = sender
        self.incarnation = incarnation


class Released(Record):
    """
    Grant of a `Release`, sent once it is synced that the sender never votes again.

    Parameters
    ----------
    sender : SenderView
        The former holder.
    joined : dict of str to list of Incarnation
        See `SeatReport`.
    """

    __slots__ = ("sender", "joined")

    def __init__(self, sender, joined):
        self.sender = sender
        self.joined = joined


class SeatReport(Record):
    """
    Reply to a `SeatQuery`.

    Parameters
    ----------
    sender : SenderView
        The replying replica.
    joined : dict of str to list of Incarnation
        Confirmed identities by seat, in ascending order.
    """

    __slots__ = ("sender", "joined")

    def __init__(self, sender, joined):
        self.sender = sender
        self.joined = joined


class HelloReply(Record):
    """
    Reply to a `Hello`.

    Parameters
    ----------
    sender : SenderView
        The replying replica.
    state : str
        Phase of the replying replica: ``fresh``, ``copying``, ``returning`` or
        ``ready``.
    seen_position : int
        Highest position that the asking incarnation has reported before.
    founders : dict of str to Incarnation
        Identities that began together with an empty state; empty if unknown.
    """

    __slots__ = ("sender", "state", "seen_position", "founders")

    def __init__(self, sender, state, seen_position, founders):
        self.sender = sender
        self.state = state
        self.seen_position = seen_position
        self.founders = founders


class NotReady(Record):
    """Refusal by a replica that is not ready or knows a later holder of the seat."""

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender
