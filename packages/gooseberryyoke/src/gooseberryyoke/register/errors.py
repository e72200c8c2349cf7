"""Why a read or write of a register failed."""

from gooseberryyoke.record import Record

__all__ = ["Conflict", "RegisterError", "Unavailable"]


class RegisterError(Record):
    """Base of the errors of register operations."""

    __slots__ = ()


class Conflict(RegisterError):
    """
    The register was at another version; nothing was written.

    Parameters
    ----------
    current : Versioned
        What a majority held.
    """

    __slots__ = ("current",)

    def __init__(self, current):
        self.current = current


class Unavailable(RegisterError):
    """
    No majority settled the operation in time.

    Parameters
    ----------
    may_have_written : bool
        The value may be in force now or come into force later.
    detail : str
        What was missing.
    """

    __slots__ = ("may_have_written", "detail")

    def __init__(self, may_have_written, detail):
        self.may_have_written = may_have_written
        self.detail = detail
