"""Admission of a data folder to the replicas, and the merge of copied slots."""

from enum import Enum

from gooseberryyoke.record import Record
from gooseberryyoke.register.cell import EMPTY_SLOT, Slot
from gooseberryyoke.register.identity import (
    Incarnation,
    exclude_replaced,
    majority,
)
from gooseberryyoke.register.state import FRESH, READY, RECLAIMING

__all__ = [
    "Admission",
    "AdmissionDecision",
    "ContestOutcome",
    "decide_contest",
    "decide_first_join",
    "decide_rejoin",
    "is_replaced",
    "merge_slot",
    "next_incarnation",
]


class Admission(Enum):
    """Next step of a replica that starts."""

    WAIT = "wait"
    SERVE = "serve"
    FOUND = "found"
    COPY = "copy"
    RECLAIM = "reclaim"
    RENEW = "renew"
    REFUSE = "refuse"


class AdmissionDecision(Record):
    """
    Decision on the next step of a starting replica, and the seats involved.

    Parameters
    ----------
    admission : Admission
        Next step. ``RENEW`` means that the folder must take a new identity,
        ``RECLAIM`` that another identity has begun to take the seat, ``REFUSE`` that
        another identity holds it.
    founders : dict of str to Incarnation
        For ``FOUND``: identities that begin together with an empty state.
    sources : tuple of str
        Seats of ready peers. For ``COPY`` at least a majority of all seats; for
        ``RECLAIM`` a majority together with the asking replica.
    """

    __slots__ = ("admission", "founders", "sources")

    def __init__(self, admission, founders=None, sources=()):
        self.admission = admission
        self.founders = founders or {}
        self.sources = tuple(sources)


def decide_rejoin(state, position, size, replies):
    """
    Decide on the next step of a folder that has been part of a majority before.

    Parameters
    ----------
    state : ReplicaState
        State rebuilt from the folder.
    position : int
        Number of records in the folder.
    size : int
        Number of seats.
    replies : list of HelloReply
        Replies of the other seats.

    Returns
    -------
    AdmissionDecision
        ``SERVE``, ``RECLAIM``, ``RENEW``, ``REFUSE`` or ``WAIT``.
    """
    # A folder restored from an older copy lacks the records acknowledged since and
    # would vote for a state without them. Its peers have recorded its last position.
    is_outdated = any(reply.seen_position > position for reply in replies)
    if is_replaced(state, replies) or state.status == RECLAIMING:
        return _decide_after_replacement(is_outdated, size, replies)
    if is_outdated:
        return AdmissionDecision(Admission.RENEW)
    if len(replies) + 1 >= majority(size):
        return AdmissionDecision(Admission.SERVE)
    return AdmissionDecision(Admission.WAIT)


def _decide_after_replacement(is_outdated, size, replies):
    if is_outdated:
        return AdmissionDecision(Admission.REFUSE)
    ready = [reply for reply in exclude_replaced(replies) if reply.state == READY]
    if len(ready) + 1 < majority(size):
        return AdmissionDecision(Admission.WAIT)
    # The peers' reports then show whether the other identity has joined meanwhile.
    return AdmissionDecision(Admission.RECLAIM, sources=[r.sender.seat for r in ready])


class ContestOutcome(Enum):
    """Outcome of a seat's contest between its former holder and a later identity."""

    LOST = "lost"
    OPEN = "open"
    WON = "won"


def decide_contest(state, size, reports, withdrawn=frozenset()):
    """
    Decide whether a later identity of the seat has joined, or still can.

    An identity joins once a majority of all seats has confirmed it, not counting the
    contested seat. A peer that has since named a later identity no longer confirms it.

    Parameters
    ----------
    state : ReplicaState
        State of the former holder.
    size : int
        Number of seats.
    reports : collection of SeatReport
        Reports of ready peers, each sent after the peer has named the former holder's
        new identity.
    withdrawn : collection of Incarnation
        Identities that have not joined and never will.

    Returns
    -------
    ContestOutcome
    """
    own = state.former or state.incarnation
    confirmed_count = sum(
        any(
            incarnation > own and incarnation not in withdrawn
            for incarnation in report.joined.get(state.seat, ())
        )
        for report in reports
    )
    if confirmed_count >= majority(size):
        return ContestOutcome.LOST
    unreported_count = size - 1 - len(reports)
    if confirmed_count + unreported_count >= majority(size):
        return ContestOutcome.OPEN
    return ContestOutcome.WON


def decide_first_join(state, size, replies, founding):
    """
    Decide on the next step of a folder that has never been part of a majority.

    Parameters
    ----------
    state : ReplicaState
        State with an identity only.
    size : int
        Number of seats.
    replies : list of HelloReply
        Latest reply of each of the other seats.
    founding : frozenset of str
        Seats that may begin together with an empty state; empty if the settings don't
        allow it. Other seats join them in the same way as a replica that has lost its
        folder.

    Returns
    -------
    AdmissionDecision
        ``FOUND``, ``COPY``, ``RENEW`` or ``WAIT``.
    """
    if is_replaced(state, replies):
        return AdmissionDecision(Admission.RENEW)
    for reply in replies:
        if reply.founders.get(state.seat) == state.incarnation:
            return AdmissionDecision(Admission.FOUND, founders=reply.founders)
    ready = [reply for reply in exclude_replaced(replies) if reply.state == READY]
    # A majority of the other seats includes each decided value at least once, since
    # the lost folder held at most one of the votes that decided it.
    if len(ready) >= majority(size):
        return AdmissionDecision(Admission.COPY, sources=[r.sender.seat for r in ready])
    fresh = [reply for reply in replies if reply.state == FRESH]
    founders = {r.sender.seat: r.sender.incarnation for r in fresh}
    founders[state.seat] = state.incarnation
    if state.seat in founding and founding <= founders.keys():
        founders = {seat: founders[seat] for seat in founding}
        return AdmissionDecision(Admission.FOUND, founders=founders)
    return AdmissionDecision(Admission.WAIT)


def is_replaced(state, replies):
    """
    Return whether a peer names a later holder of a replica's seat.

    Parameters
    ----------
    state : ReplicaState
        State of the replica.
    replies : iterable
        Replies with a ``sender`` of class `SenderView`, from the other seats.

    Returns
    -------
    bool
    """
    known = [reply.sender.roster.get(state.seat) for reply in replies]
    return any(inc is not None and inc > state.incarnation for inc in known)


def next_incarnation(seat, replies, rng):
    """
    Create an identity higher than every identity known for a seat.

    Parameters
    ----------
    seat : str
        The seat to be held.
    replies : list of HelloReply
        Replies of the other seats; may be empty.
    rng : random.Random
        Source of the nonce.

    Returns
    -------
    Incarnation
    """
    known = [reply.sender.roster.get(seat) for reply in replies]
    highest = max((inc.generation for inc in known if inc is not None), default=0)
    return Incarnation(highest + 1, f"{rng.getrandbits(64):016x}")


def merge_slot(mine, theirs):
    """
    Merge another replica's slot of a key into the copied one.

    Parameters
    ----------
    mine : Slot or None
        Slot copied for the key so far.
    theirs : Slot
        Slot of a further replica.

    Returns
    -------
    Slot
        Highest promise and highest accepted cell, marked as copied.
    """
    mine = mine or EMPTY_SLOT
    newer = theirs if theirs.accepted > mine.accepted else mine
    return Slot(
        max(mine.promised, theirs.promised), newer.accepted, newer.cell, copied=True
    )
