"""Ballots, which order the attempts to write a register."""

from functools import total_ordering

from gooseberryyoke.record import Record

__all__ = ["NO_BALLOT", "Ballot"]


@total_ordering
class Ballot(Record):
    """
    Number of an attempt to write a register, unique to that attempt.

    Parameters
    ----------
    counter : int
        Counter, compared first.
    proposer : str
        Identity of the proposer, unique for each operation; orders ballots with equal
        counters.

    Examples
    --------
    >>> Ballot(2, "a") > Ballot(1, "b")
    True
    """

    __slots__ = ("counter", "proposer")

    def __init__(self, counter, proposer):
        self.counter = counter
        self.proposer = proposer

    def __lt__(self, other):
        return (self.counter, self.proposer) < (other.counter, other.proposer)

    def __eq__(self, other):
        return (
            isinstance(other, Ballot)
            and self.counter == other.counter
            and self.proposer == other.proposer
        )

    def __hash__(self):
        return hash((self.counter, self.proposer))


NO_BALLOT = Ballot(0, "")
"""Ballot below those of all attempts, for a slot without a promise or cell."""
