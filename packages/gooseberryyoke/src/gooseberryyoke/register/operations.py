"""What a proposer is asked to do, and what it makes of the content found."""

from functools import singledispatch

from returns.result import Failure, Success

from gooseberryyoke.record import Record
from gooseberryyoke.register.cell import Cell
from gooseberryyoke.register.errors import Conflict, Unavailable

__all__ = ["Attempt", "CollectOperation", "Decision", "ReadOperation", "WriteOperation"]


class ReadOperation(Record):
    """Read a register."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class WriteOperation(Record):
    """
    Write a register that is at an expected version.

    Parameters
    ----------
    key : str
        The register.
    expected_version : int
        0 for a register never written.
    value : object
        JSON-able; None deletes.
    """

    __slots__ = ("key", "expected_version", "value")

    def __init__(self, key, expected_version, value):
        self.key = key
        self.expected_version = expected_version
        self.value = value


class CollectOperation(Record):
    """Delete a register at an expected version and drop it from every replica."""

    __slots__ = ("key", "expected_version")

    def __init__(self, key, expected_version):
        self.key = key
        self.expected_version = expected_version


class Attempt(Record):
    """
    What a proposer knows when it decides.

    Parameters
    ----------
    cell : Cell
        Content with the highest ballot in the majority.
    ballot : Ballot
        The proposer's own.
    operation : str
        The proposer's operation identity.
    sent_counter : int or None
        Counter of the first ballot under which it sent its own cell.
    floor : int
        Highest floor in the majority.
    """

    __slots__ = ("cell", "ballot", "operation", "sent_counter", "floor")

    def __init__(self, cell, ballot, operation, sent_counter, floor):
        self.cell = cell
        self.ballot = ballot
        self.operation = operation
        self.sent_counter = sent_counter
        self.floor = floor


class Decision(Record):
    """
    What to have accepted, and the result once it is.

    Parameters
    ----------
    cell : Cell
        Content to have accepted by a majority.
    result : Result
        The operation's result after that.
    own : bool
        The cell is the operation's own; false if it only completes what was found.
    """

    __slots__ = ("cell", "result", "own")

    def __init__(self, cell, result, own):
        self.cell = cell
        self.result = result
        self.own = own


@singledispatch
def decide(operation, attempt):
    """
    Decide what to have accepted.

    Parameters
    ----------
    operation : Record
        One of this module's operations.
    attempt : Attempt
        What was found.

    Returns
    -------
    Decision
    """
    raise TypeError(f"{operation!r} is not an operation on a register")


@decide.register
def _(operation: ReadOperation, attempt):
    return Decision(attempt.cell, Success(attempt.cell.versioned()), own=False)


@decide.register
def _(operation: WriteOperation, attempt):
    return _replace(operation.expected_version, operation.value, attempt)


@decide.register
def _(operation: CollectOperation, attempt):
    return _replace(operation.expected_version, None, attempt)


def _replace(expected, value, attempt):
    found = attempt.cell
    if found.operation == attempt.operation:
        # A competitor completed our earlier try.
        return Decision(found, Success(found.versioned()), own=True)
    if _outcome_unknown(expected, attempt):
        detail = f"version {found.version} found, may have replaced our write"
        return Decision(found, Failure(Unavailable(True, detail)), own=False)
    if found.version != expected:
        return Decision(found, Failure(Conflict(found.versioned())), own=False)
    version = max(found.version + 1, attempt.ballot.counter)
    cell = Cell(version, value, attempt.operation, found.version)
    return Decision(cell, Success(cell.versioned()), own=True)


def _outcome_unknown(expected, attempt):
    """Tell whether our cell may have been in force and been replaced since."""
    if attempt.sent_counter is None:
        return False
    found = attempt.cell
    if expected == 0 and attempt.floor >= attempt.sent_counter:
        # Our write of a new register may have been deleted and its tombstone
        # dropped by every replica: writing again would run it twice. The floor
        # of a dropped tombstone is at least our ballot's counter.
        return True
    # A cell that took the expected version's place instead of ours proves that
    # ours never was in force.
    return found.version != expected and found.previous != expected
