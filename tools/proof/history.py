"""What the operations on one register returned, and whether that can be."""

from returns.result import Success

from gooseberryyoke.record import Record
from gooseberryyoke.register import (
    CollectOperation,
    Conflict,
    ReadOperation,
    Unavailable,
)

__all__ = ["Entry", "History"]


class Entry(Record):
    """
    One operation.

    Parameters
    ----------
    operation : Record
        Each write has a value of its own.
    began, ended : int
        Step numbers.
    result : Result
    """

    __slots__ = ("operation", "began", "ended", "result")

    def __init__(self, operation, began, ended, result):
        self.operation = operation
        self.began = began
        self.ended = ended
        self.result = result

    @property
    def is_read(self):
        """Whether the operation writes nothing."""
        return isinstance(self.operation, ReadOperation)

    @property
    def value(self):
        """What the operation writes; None for a deletion."""
        return getattr(self.operation, "value", None)

    @property
    def observed(self):
        """The content that the operation showed its caller, or None."""
        if isinstance(self.result, Success):
            return self.result.unwrap()
        error = self.result.failure()
        return error.current if isinstance(error, Conflict) else None

    @property
    def is_written(self):
        """Whether the caller was told that its write is in force."""
        return not self.is_read and isinstance(self.result, Success)

    @property
    def is_denied(self):
        """Whether the caller was told that its write never is in force."""
        if self.is_read or isinstance(self.result, Success):
            return False
        error = self.result.failure()
        return not (isinstance(error, Unavailable) and error.may_have_written)

    @property
    def may_delete(self):
        """Whether the operation may have deleted the register."""
        return not (self.is_read or self.is_denied) and self.value is None


class History:
    """The operations on one register; versions make the check a linear one."""

    def __init__(self):
        self.entries = []

    def add(self, entry):
        """
        Record an operation that has ended.

        Parameters
        ----------
        entry : Entry
        """
        self.entries.append(entry)

    def faults(self):
        """
        List what contradicts a register that does one operation at a time.

        Returns
        -------
        list of str
        """
        return [
            *self._values_shown_twice_or_denied(),
            *self._versions_gone_back(),
            *self._writes_over_one_another(),
        ]

    def _values_shown_twice_or_denied(self):
        denied = {entry.value for entry in self.entries if entry.is_denied} - {None}
        versions = {}
        for entry in self.entries:
            shown = entry.observed
            if shown is None or shown.value is None:
                continue
            if shown.value in denied:
                yield f"value {shown.value} shown, but its writer was told it is not"
            known = versions.setdefault(shown.value, shown.version)
            if known != shown.version:
                yield f"value {shown.value} in force at {known} and {shown.version}"

    def _versions_gone_back(self):
        for later in self.entries:
            if later.observed is None:
                continue
            for earlier in self.entries:
                if earlier.observed is None or earlier.ended >= later.began:
                    continue
                if self._went_back(earlier.observed, later):
                    yield (
                        f"version {earlier.observed.version} shown at step "
                        f"{earlier.ended}, then {later.observed.version} by an "
                        f"operation begun at {later.began}"
                    )

    def _went_back(self, before, later):
        after = later.observed
        if after.version >= before.version:
            # A write's own version is new to everybody.
            return later.is_written and after.version == before.version
        if after.version > 0 or before.value is None:
            return after.version > 0
        return not any(
            entry.may_delete and entry.began <= later.ended for entry in self.entries
        )

    def _writes_over_one_another(self):
        written = [entry for entry in self.entries if entry.is_written]
        for number, one in enumerate(written):
            for other in written[number + 1 :]:
                if self._overlap(one, other):
                    yield (
                        f"{one.operation} and {other.operation} both in force over "
                        f"one another: {one.observed}, {other.observed}"
                    )

    def _overlap(self, one, other):
        first, second = sorted((one, other), key=lambda item: item.observed.version)
        if first.observed.version == second.observed.version:
            return True
        expected = second.operation.expected_version
        if expected >= first.observed.version:
            return False
        if expected > 0:
            return True
        # The second began from a register that did not exist: it must have been
        # deleted after the first.
        return not (first.value is None or self._deleted_after(first, second))

    def _deleted_after(self, first, second):
        return any(
            entry.may_delete
            and entry.operation.expected_version >= first.observed.version
            and entry.began <= second.ended
            for entry in self.entries
            if isinstance(entry.operation, CollectOperation) or entry.value is None
        )
