"""How a folder joins the replicas, and what it takes over from them."""

from enum import Enum

from gooseberryyoke.record import Record
from gooseberryyoke.register.cell import EMPTY_SLOT, Slot
from gooseberryyoke.register.identity import (
    Incarnation,
    largest_consistent,
    majority,
)
from gooseberryyoke.register.state import FRESH, READY, RECLAIMING

__all__ = [
    "Admission",
    "Contest",
    "Judgement",
    "is_replaced",
    "judge_contest",
    "judge_fresh",
    "judge_kept",
    "merge_slot",
    "next_incarnation",
]


class Admission(Enum):
    """What a starting replica may do."""

    WAIT = "wait"
    SERVE = "serve"
    FOUND = "found"
    COPY = "copy"
    RECLAIM = "reclaim"
    RENEW = "renew"
    REFUSE = "refuse"


class Judgement(Record):
    """
    What a starting replica may do, and with whom.

    Parameters
    ----------
    admission : Admission
        ``RENEW`` means that the folder must take a new identity, ``RECLAIM`` that
        another has begun to take the seat, ``REFUSE`` that another holds it.
    founders : dict of str to Incarnation
        For ``FOUND``.
    sources : tuple of str
        For ``COPY``: seats of ready peers, at least a majority of all seats. For
        ``RECLAIM``: those there are, a majority together with the asking one.
    """

    __slots__ = ("admission", "founders", "sources")

    def __init__(self, admission, founders=None, sources=()):
        self.admission = admission
        self.founders = founders or {}
        self.sources = tuple(sources)


def judge_kept(state, position, size, replies):
    """
    Judge a folder that has been part of a majority before.

    Parameters
    ----------
    state : ReplicaState
        As rebuilt from the folder.
    position : int
        Count of records in the folder.
    size : int
        Number of seats.
    replies : list of HelloReply
        From the other seats.

    Returns
    -------
    Judgement
        ``SERVE``, ``RECLAIM``, ``RENEW``, ``REFUSE`` or ``WAIT``.
    """
    # A folder put back from an older copy has lost what it acknowledged since:
    # it would vote for a state without it. Its peers remember how far it was.
    is_outdated = any(reply.seen_position > position for reply in replies)
    if is_replaced(state, replies) or state.status == RECLAIMING:
        return _judge_replaced(is_outdated, size, replies)
    if is_outdated:
        return Judgement(Admission.RENEW)
    if len(replies) + 1 >= majority(size):
        return Judgement(Admission.SERVE)
    return Judgement(Admission.WAIT)


def _judge_replaced(is_outdated, size, replies):
    if is_outdated:
        return Judgement(Admission.REFUSE)
    ready = [reply for reply in largest_consistent(replies) if reply.state == READY]
    if len(ready) + 1 < majority(size):
        return Judgement(Admission.WAIT)
    # Whether the other has joined since is theirs to say.
    return Judgement(Admission.RECLAIM, sources=[r.sender.seat for r in ready])


class Contest(Enum):
    """Who holds a seat that another identity has begun to take."""

    LOST = "lost"
    OPEN = "open"
    WON = "won"


def judge_contest(state, size, reports, withdrawn=frozenset()):
    """
    Judge whether the other identity has joined, or still can.

    It joins once a majority of all seats has confirmed it, the contested one not
    among them. Peers that have named a later identity since confirm it no more.

    Parameters
    ----------
    state : ReplicaState
        Of the former holder.
    size : int
        Number of seats.
    reports : collection of SeatReport
        Of ready peers, each after it has named the former holder's new identity.
    withdrawn : collection of Incarnation
        Identities that have not joined, and never will.

    Returns
    -------
    Contest
    """
    own = state.former or state.incarnation
    confirmed = sum(
        any(
            incarnation > own and incarnation not in withdrawn
            for incarnation in report.joined.get(state.seat, ())
        )
        for report in reports
    )
    if confirmed >= majority(size):
        return Contest.LOST
    unheard = size - 1 - len(reports)
    if confirmed + unheard >= majority(size):
        return Contest.OPEN
    return Contest.WON


def judge_fresh(state, size, replies, founding):
    """
    Judge a folder that has never been part of a majority.

    Parameters
    ----------
    state : ReplicaState
        With an identity, nothing else.
    size : int
        Number of seats.
    replies : list of HelloReply
        From the other seats, the latest of each.
    founding : frozenset of str
        Seats that may begin together with an empty state, if the settings allow
        it. Other seats join them as one that has lost its folder would.

    Returns
    -------
    Judgement
        ``FOUND``, ``COPY``, ``RENEW`` or ``WAIT``.
    """
    if is_replaced(state, replies):
        return Judgement(Admission.RENEW)
    for reply in replies:
        if reply.founders.get(state.seat) == state.incarnation:
            return Judgement(Admission.FOUND, founders=reply.founders)
    ready = [reply for reply in largest_consistent(replies) if reply.state == READY]
    # With a majority of the others, each settled value is seen at least once:
    # the lost folder held at most one of the votes that settled it.
    if len(ready) >= majority(size):
        return Judgement(Admission.COPY, sources=[r.sender.seat for r in ready])
    fresh = [reply for reply in replies if reply.state == FRESH]
    founders = {r.sender.seat: r.sender.incarnation for r in fresh}
    founders[state.seat] = state.incarnation
    if state.seat in founding and founding <= founders.keys():
        founders = {seat: founders[seat] for seat in founding}
        return Judgement(Admission.FOUND, founders=founders)
    return Judgement(Admission.WAIT)


def is_replaced(state, replies):
    """
    Tell whether a peer names a later holder of a replica's seat.

    Parameters
    ----------
    state : ReplicaState
    replies : iterable
        Replies with a ``sender`` stamp, from the other seats.

    Returns
    -------
    bool
    """
    known = [reply.sender.roster.get(state.seat) for reply in replies]
    return any(inc is not None and inc > state.incarnation for inc in known)


def next_incarnation(seat, replies, rng):
    """
    Make an identity above every one known for a seat.

    Parameters
    ----------
    seat : str
        The seat to be held.
    replies : list of HelloReply
        From the other seats; may be empty.
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
    Take over another replica's slot of a key.

    Parameters
    ----------
    mine : Slot or None
        What has been copied of the key so far.
    theirs : Slot
        From one more replica.

    Returns
    -------
    Slot
        Highest promise and highest accepted cell; marked as copied.
    """
    mine = mine or EMPTY_SLOT
    newer = theirs if theirs.accepted > mine.accepted else mine
    return Slot(
        max(mine.promised, theirs.promised), newer.accepted, newer.cell, copied=True
    )
