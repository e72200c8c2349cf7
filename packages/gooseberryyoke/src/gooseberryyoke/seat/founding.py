"""Who holds the seats of a deployment that starts for the first time."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.identity import Incarnation, majority
from gooseberryyoke.seat.seat_map import Holder, SeatMap

__all__ = [
    "Candidate",
    "choose_founders",
    "founder_incarnation",
    "may_elect_anew",
    "may_propose",
]

_FIRST_GENERATION = 1
_FEWER_AFTER_S = 2.5
"""Wait for as many processes as there are seats. Longer than processes that start
together are apart; one that is down must not keep the deployment from starting."""
_NOBODY_S = 8.0
"""For which no process may tell of seats before one that has lost its vote votes anew.
Longer than a network partition usually lasts, since whoever holds a seat greets
the contacts all the time."""


class Candidate(Record):
    """
    A process that may hold a seat from the beginning.

    Parameters
    ----------
    address : str
        ``host:port`` for internal calls.
    nonce : str
        Random, of its empty data folder: another one once the folder is lost.
    """

    __slots__ = ("address", "nonce")

    def __init__(self, address, nonce):
        self.address = address
        self.nonce = nonce


def founder_incarnation(nonce):
    """
    Give the identity under which a candidate holds its first seat.

    Parameters
    ----------
    nonce : str

    Returns
    -------
    Incarnation
    """
    return Incarnation(_FIRST_GENERATION, nonce)


def choose_founders(contacts, candidates, size):
    """
    Seat candidates, contacts first.

    Parameters
    ----------
    contacts : collection of str
        Addresses that every process has in its settings.
    candidates : list of Candidate
    size : int
        Number of seats. Those beyond the candidates are vacant: they count in every
        majority from the beginning, so that it never has to change.

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


def may_propose(candidates, size, waited_s):
    """
    Decide whether to propose the candidates that are there.

    With a holder for each seat from the beginning, as many disks may be lost at once
    as the seats allow, also right after the first write. With fewer, a write stands on
    fewer than it counts on, so those that are a little late are waited for.

    Parameters
    ----------
    candidates : int
        How many are there.
    size : int
        Number of seats.
    waited_s : float
        Since the start of this process.

    Returns
    -------
    bool
    """
    if candidates >= size:
        return True
    return waited_s >= _FEWER_AFTER_S and candidates >= majority(size)


def may_elect_anew(contacts, heard, unfounded_s):
    """
    Decide whether a contact that has no record of its vote may vote.

    Its folder may be new, or have been lost after it had voted. In the latter case
    the holders of seats that were settled with that vote greet the contacts. Silence
    of a single contact could be such a settlement that nobody hears of, so all have to
    be heard.

    Parameters
    ----------
    contacts : iterable of str
    heard : collection of str
        Addresses heard of lately, this process's own included.
    unfounded_s : float
        For how long this process has heard of no seats.

    Returns
    -------
    bool
    """
    return unfounded_s >= _NOBODY_S and all(address in heard for address in contacts)
