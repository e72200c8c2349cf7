"""Assignment of the seats of a deployment that starts for the first time."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.identity import Incarnation, majority
from gooseberryyoke.seat.seat_map import Holder, SeatMap

__all__ = [
    "Candidate",
    "choose_founders",
    "founder_incarnation",
    "may_propose",
    "may_vote_again",
]

_FIRST_GENERATION = 1
_ALL_CANDIDATES_WAIT_S = 2.5
"""Time in seconds to wait for a candidate for every seat.

It is longer than the usual time between the starts of processes that are started
together. It is limited so that a process that is down doesn't prevent the deployment
from starting.
"""
_SILENCE_BEFORE_VOTE_S = 8.0
"""Time in seconds without a received seat assignment after which a contact without a
record of its vote may vote.

The holders of seats continuously send greetings, which include the assignment, to the
contacts. The time is longer than a network partition usually lasts.
"""


class Candidate(Record):
    """
    Process that may hold a seat from the founding of the deployment.

    Parameters
    ----------
    address : str
        ``host:port`` for internal calls.
    nonce : str
        Random identifier of the process's empty data folder; a folder that replaces a
        lost one has another nonce.
    """

    __slots__ = ("address", "nonce")

    def __init__(self, address, nonce):
        self.address = address
        self.nonce = nonce


def founder_incarnation(nonce):
    """
    Return the identity under which a candidate holds its first seat.

    Parameters
    ----------
    nonce : str
        Nonce of the candidate's data folder.

    Returns
    -------
    Incarnation
    """
    return Incarnation(_FIRST_GENERATION, nonce)


def choose_founders(contacts, candidates, size):
    """
    Assign seats to candidates, to contacts first.

    Parameters
    ----------
    contacts : collection of str
        Addresses that every process has in its settings.
    candidates : list of Candidate
        Candidates in any order; contacts, and then the others, get seats in the order
        of their addresses.
    size : int
        Number of seats. Seats without a candidate stay vacant, but count towards the
        size of a majority from the beginning, so that this size never changes.

    Returns
    -------
    SeatMap
    """
    ranked = sorted(candidates, key=lambda c: (c.address not in contacts, c.address))
    seats = SeatMap.vacant(size)
    for seat, candidate in zip(seats.holders, ranked, strict=False):
        incarnation = founder_incarnation(candidate.nonce)
        seats.holders[seat] = Holder(incarnation, candidate.address)
    return seats


def may_propose(candidate_count, size, waited_s):
    """
    Decide whether to propose the present candidates as founders.

    If every seat has a holder from the beginning, the deployment tolerates the loss of
    as many disks as its number of seats allows, also right after the first write. With
    fewer holders a write is stored on fewer disks, so candidates that start slightly
    later are waited for.

    Parameters
    ----------
    candidate_count : int
        Number of present candidates.
    size : int
        Number of seats.
    waited_s : float
        Time in seconds since the start of this process.

    Returns
    -------
    bool
    """
    if candidate_count >= size:
        return True
    return waited_s >= _ALL_CANDIDATES_WAIT_S and candidate_count >= majority(size)


def may_vote_again(contacts, heard, no_seats_s):
    """
    Decide whether a contact without a record of its vote may vote.

    Its folder may be new, or may have been lost after it had voted. In the latter case
    the holders of the seats that were decided with that vote send greetings to the
    contacts. A contact that this process has not heard from could hold a seat by such a
    decision, so all contacts must have been heard from.

    Parameters
    ----------
    contacts : iterable of str
        Addresses that every process has in its settings.
    heard : collection of str
        Addresses heard from recently, including this process's own.
    no_seats_s : float
        Time in seconds for which this process has received no seat assignment.

    Returns
    -------
    bool
    """
    return no_seats_s >= _SILENCE_BEFORE_VOTE_S and all(
        address in heard for address in contacts
    )
