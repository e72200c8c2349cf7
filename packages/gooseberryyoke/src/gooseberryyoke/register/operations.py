"""Operations on registers, and the cell that each proposes given the content found."""

from functools import singledispatch

from returns.result import Failure, Success

from gooseberryyoke.record import Record
from gooseberryyoke.register.cell import Cell
from gooseberryyoke.register.errors import Conflict, Unavailable

__all__ = ["Attempt", "CollectOperation", "Decision", "ReadOperation", "WriteOperation"]


class ReadOperation(Record):
    """Request to read a register."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class WriteOperation(Record):
    """
    Request to write a register if it is at an expected version.

    Parameters
    ----------
    key : str
        Key of the register.
    expected_version : int
        Version that the write replaces; 0 for a register never written.
    value : object
        JSON-serialisable value; None deletes the register.
    """

    __slots__ = ("key", "expected_version", "value")

    def __init__(self, key, expected_version, value):
        self.key = key
        self.expected_version = expected_version
        self.value = value


class CollectOperation(Record):
    """Request to delete a register at an expected version and drop it everywhere."""

    __slots__ = ("key", "expected_version")

    def __init__(self, key, expected_version):
        self.key = key
        self.expected_version = expected_version


class Attempt(Record):
    """
    State of a proposer once a majority has promised its ballot.

    Parameters
    ----------
    cell : Cell
        Content accepted under the highest ballot in the majority.
    ballot : Ballot
        Ballot of the proposer.
    operation : str
        Identity of the proposer's operation.
    sent_counter : int or None
        Counter of the first ballot under which the proposer sent its own cell; None if
        it has sent none.
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
    Cell to propose, and the operation's result once it is accepted.

    Parameters
    ----------
    cell : Cell
        Content to be accepted by a majority.
    result : Result
        Result of the operation after that.
    own : bool
        Whether the cell was written by this operation; false if the proposal only
        completes the content found.
    """

    __slots__ = ("cell", "result", "own")

    def __init__(self, cell, result, own):
        self.cell = cell
        self.result = result
        self.own = own


@singledispatch
def decide(operation, attempt):
    """
    Decide which cell to propose.

    Parameters
    ----------
    operation : Record
        One of this module's operations.
    attempt : Attempt
        Content found and state of the proposer.

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
        # A competitor completed an earlier attempt of this operation.
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
    """Return whether the operation's cell may have been in force and replaced."""
    if attempt.sent_counter is None:
        return False
    found = attempt.cell
    if expected == 0 and attempt.floor >= attempt.sent_counter:
        # This operation's write of a new register may have been deleted and its
        # tombstone dropped by every replica, so writing again would execute it twice.
        # The floor of a dropped tombstone is at least the counter of its ballot.
        return True
    # A cell that replaced the expected version instead of this operation's cell proves
    # that the latter was never in force.
    return found.version != expected and found.previous != expected
