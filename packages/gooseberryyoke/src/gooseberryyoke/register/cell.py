"""Content of a register, and the state that one replica stores of it."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.ballot import NO_BALLOT

__all__ = ["ABSENT", "EMPTY_SLOT", "Cell", "Slot", "Versioned"]


class Versioned(Record):
    """
    Version and value of a register, as returned to callers.

    Parameters
    ----------
    version : int
        Number that grows with each write, also across a deletion; 0 if the register
        was never written.
    value : object
        JSON-serialisable value; None if absent or deleted.
    """

    __slots__ = ("version", "value")

    def __init__(self, version, value):
        self.version = version
        self.value = value


class Cell(Record):
    """
    Content of a register, as exchanged between processes.

    Parameters
    ----------
    version : int
        See `Versioned`.
    value : object
        JSON-serialisable value; None marks a deleted register (a tombstone).
    operation : str
        Identity of the operation that wrote this version.
    previous : int
        Version that this one replaced.

    Notes
    -----
    By ``operation`` a writer recognises its own write if a competitor completed the
    attempt; by ``previous`` it recognises that another write replaced the same version
    instead.
    """

    __slots__ = ("version", "value", "operation", "previous")

    def __init__(self, version, value, operation, previous):
        self.version = version
        self.value = value
        self.operation = operation
        self.previous = previous

    def versioned(self):
        """
        Return version and value, without the fields that only proposers need.

        Returns
        -------
        Versioned
        """
        return Versioned(self.version, self.value)


ABSENT = Cell(0, None, "", 0)
"""Content of a register that was never written."""


class Slot(Record):
    """
    State of one register in one replica.

    Parameters
    ----------
    promised : Ballot
        Ballot below which attempts are refused.
    accepted : Ballot
        Ballot under which ``cell`` was accepted.
    cell : Cell
        Accepted content.
    copied : bool
        Whether the cell was copied from other replicas in a repair instead of being
        accepted by this one.
    """

    __slots__ = ("promised", "accepted", "cell", "copied")

    def __init__(self, promised, accepted, cell, copied=False):
        self.promised = promised
        self.accepted = accepted
        self.cell = cell
        self.copied = copied


EMPTY_SLOT = Slot(NO_BALLOT, NO_BALLOT, ABSENT)
"""Slot of a register without a promise and without an accepted cell."""
