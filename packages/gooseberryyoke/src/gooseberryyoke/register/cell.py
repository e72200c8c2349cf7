"""What a register holds, and what one replica keeps of it."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.ballot import NO_BALLOT

__all__ = ["ABSENT", "EMPTY_SLOT", "Cell", "Slot", "Versioned"]


class Versioned(Record):
    """
    A register as its readers see it.

    Parameters
    ----------
    version : int
        Grows with each write, also across a deletion; 0 if never written.
    value : object
        JSON-able; None if absent or deleted.
    """

    __slots__ = ("version", "value")

    def __init__(self, version, value):
        self.version = version
        self.value = value


class Cell(Record):
    """
    A register's content as it travels between processes.

    Parameters
    ----------
    version : int
        See `Versioned`.
    value : object
        JSON-able; None marks a deleted register (a tombstone).
    operation : str
        Identity of the operation that wrote this version.
    previous : int
        The version that this one replaced.

    Notes
    -----
    ``operation`` lets a writer whose attempt was completed by a competitor
    recognise its own write; ``previous`` lets it recognise that another write
    took its place.
    """

    __slots__ = ("version", "value", "operation", "previous")

    def __init__(self, version, value, operation, previous):
        self.version = version
        self.value = value
        self.operation = operation
        self.previous = previous

    def versioned(self):
        """
        Drop what only proposers need.

        Returns
        -------
        Versioned
        """
        return Versioned(self.version, self.value)


ABSENT = Cell(0, None, "", 0)


class Slot(Record):
    """
    One replica's state of one register.

    Parameters
    ----------
    promised : Ballot
        Attempts below this are refused.
    accepted : Ballot
        Attempt that wrote ``cell``.
    cell : Cell
        Content as accepted here.
    copied : bool
        Taken over from other replicas in a repair, not accepted by this one.
    """

    __slots__ = ("promised", "accepted", "cell", "copied")

    def __init__(self, promised, accepted, cell, copied=False):
        self.promised = promised
        self.accepted = accepted
        self.cell = cell
        self.copied = copied


EMPTY_SLOT = Slot(NO_BALLOT, NO_BALLOT, ABSENT)
