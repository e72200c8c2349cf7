"""Errors that register operations return in place of a value."""

from gooseberryyoke.record import Record

__all__ = ["Conflict", "RegisterError", "Unavailable"]


class RegisterError(Record):
    """Base class of the errors of register operations."""

    __slots__ = ()


class Conflict(RegisterError):
    """
    Refusal of a write because the register is at another version.

    Nothing was written.

    Parameters
    ----------
    current : Versioned
        Content held by a majority.
    """

    __slots__ = ("current",)

    def __init__(self, current):
        self.current = current


class Unavailable(RegisterError):
    """
    Failure of an operation that no majority completed before its deadline.

    Parameters
    ----------
    may_have_written : bool
        Whether the value may be in force now or come into force later.
    detail : str
        Description of the missing votes or of the version found instead.
    """

    __slots__ = ("may_have_written", "detail")

    def __init__(self, may_have_written, detail):
        self.may_have_written = may_have_written
        self.detail = detail
