"""Which process holds which replica's seat."""

from functools import total_ordering

from gooseberryyoke.record import Record

__all__ = ["Incarnation", "Stamp", "consistent", "largest_consistent", "majority"]


@total_ordering
class Incarnation(Record):
    """
    Identity of one life of a replica's data folder.

    Parameters
    ----------
    generation : int
        One more than any generation known for the seat before.
    nonce : str
        Random; tells apart two folders made at the same time.
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


class Stamp(Record):
    """
    Sender of a reply, and whom it takes for the holders of the other seats.

    Parameters
    ----------
    seat : str
        Configured name of the replica.
    incarnation : Incarnation
        Identity of its folder.
    roster : dict of str to Incarnation
        The highest incarnation known of each seat.
    """

    __slots__ = ("seat", "incarnation", "roster")

    def __init__(self, seat, incarnation, roster):
        self.seat = seat
        self.incarnation = incarnation
        self.roster = roster

    def contradicts(self, other):
        """
        Tell whether this sender knows of a newer holder of the other's seat.

        Parameters
        ----------
        other : Stamp
            Another reply's sender.

        Returns
        -------
        bool
        """
        known = self.roster.get(other.seat)
        return known is not None and known > other.incarnation


def majority(size):
    """
    Count the seats that make a majority.

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
    Tell whether two senders may be counted together.

    Parameters
    ----------
    first, second : Stamp
        Senders of two replies.

    Returns
    -------
    bool
    """
    return not (first.contradicts(second) or second.contradicts(first))


def largest_consistent(replies):
    """
    Leave out the replies of folders that have been replaced.

    Parameters
    ----------
    replies : iterable
        Replies with a ``sender`` stamp.

    Returns
    -------
    list
        The replies that no other reply's roster contradicts.
    """
    # A replica that acknowledged and then lost its folder still counts in the
    # proposer's tally; its successor may have copied the state before the other
    # half of the majority wrote. The write would be lost although acknowledged.
    # Those from whom the successor copied name it from then on, and there is one
    # of them in every majority: the predecessor's reply is dropped here.
    replies = list(replies)
    return [
        reply
        for reply in replies
        if not any(other.sender.contradicts(reply.sender) for other in replies)
    ]
