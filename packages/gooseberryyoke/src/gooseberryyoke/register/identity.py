"""Identities of replicas, and which replies count towards one majority."""

from functools import total_ordering

from gooseberryyoke.record import Record

__all__ = ["Incarnation", "SenderView", "consistent", "exclude_replaced", "majority"]

_SUCCESSION = "."
_COUNT_DIGITS = 6
_HEXADECIMAL = 16


@total_ordering
class Incarnation(Record):
    """
    Identity of a replica's data folder, valid until the folder is replaced or renewed.

    Parameters
    ----------
    generation : int
        One more than the highest generation known for the seat before.
    nonce : str
        Random; distinguishes folders created at the same time.
    """

    __slots__ = ("generation", "nonce")

    def __init__(self, generation, nonce):
        self.generation = generation
        self.nonce = nonce

    def __lt__(self, other):
        return (self.generation, self.nonce) < (other.generation, other.nonce)

    def __eq__(self, other):
        return (
            isinstance(other, Incarnation)
            and self.generation == other.generation
            and self.nonce == other.nonce
        )

    def __hash__(self):
        return hash((self.generation, self.nonce))

    def succeeded_by(self, nonce):
        """
        Create the identity of a folder that takes over the votes of this one.

        It is above this identity and below every other one that is above this one:
        whoever has replaced the predecessor has replaced its successor, too.

        Parameters
        ----------
        nonce : str
            Distinguishes the successors of one folder.

        Returns
        -------
        Incarnation

        Examples
        --------
        >>> Incarnation(2, "ab").succeeded_by("x").succeeded_by("y").nonce
        'ab.000002.y'
        """
        first, _, rest = self.nonce.partition(_SUCCESSION)
        count = int(rest.partition(_SUCCESSION)[0] or "0", _HEXADECIMAL) + 1
        number = f"{count:0{_COUNT_DIGITS}x}"
        return Incarnation(self.generation, _SUCCESSION.join((first, number, nonce)))


class SenderView(Record):
    """
    Sender of a reply, with its view of the holders of all seats.

    Parameters
    ----------
    seat : str
        Name of the replica's seat.
    incarnation : Incarnation
        Identity of its folder.
    roster : dict of str to Incarnation
        Highest identity known of each seat.
    """

    __slots__ = ("seat", "incarnation", "roster")

    def __init__(self, seat, incarnation, roster):
        self.seat = seat
        self.incarnation = incarnation
        self.roster = roster

    def contradicts(self, other):
        """
        Return whether this sender knows of a later holder of the other's seat.

        Parameters
        ----------
        other : SenderView
            Another reply's sender.

        Returns
        -------
        bool
        """
        known = self.roster.get(other.seat)
        return known is not None and known > other.incarnation


def majority(size):
    """
    Return the number of seats that form a majority.

    Parameters
    ----------
    size : int
        Number of seats.

    Returns
    -------
    int

    Examples
    --------
    >>> majority(3), majority(4)
    (2, 3)
    """
    return size // 2 + 1


def consistent(first, second):
    """
    Return whether two replies may be counted towards the same majority.

    Parameters
    ----------
    first, second : SenderView
        Senders of two replies.

    Returns
    -------
    bool
    """
    return not (first.contradicts(second) or second.contradicts(first))


def exclude_replaced(replies):
    """
    Exclude the replies of folders that have been replaced.

    Parameters
    ----------
    replies : iterable
        Replies with a ``sender`` of class `SenderView`.

    Returns
    -------
    list
        Replies whose sender is not contradicted by the roster of any other reply.
    """
    # If a replica acknowledges a write and then loses its folder, the proposer still
    # has its reply, while its successor may have copied the state before the rest of
    # the majority stored the write. Counting that reply could lose an acknowledged
    # write. The replicas from which the successor copied name it in their rosters from
    # then on, and every majority includes one of them, so the predecessor's reply is
    # excluded here.
    replies = list(replies)
    return [
        reply
        for reply in replies
        if not any(other.sender.contradicts(reply.sender) for other in replies)
    ]
