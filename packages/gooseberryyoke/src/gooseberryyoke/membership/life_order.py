"""Order of a server's incarnations where its clock has stepped back."""

from gooseberryyoke.record import Record

__all__ = ["LifeOrder"]

_MIN_SPAN_S = 0.5
"""Time in seconds from the first announcement of a life with an earlier start to the
one from which it counts. What a frozen process finds waiting is read within less."""


class _Claim(Record):
    """
    Announcements of a life that started earlier than the known one.

    Parameters
    ----------
    born_ms : int
        Stated start.
    service, address : str
    sequence : int
        Of the newest announcement.
    since_s : float
        When the first of them arrived.
    """

    __slots__ = ("born_ms", "service", "address", "sequence", "since_s")

    def __init__(self, born_ms, service, address, sequence, since_s):
        self.born_ms = born_ms
        self.service = service
        self.address = address
        self.sequence = sequence
        self.since_s = since_s

    def is_continued_by(self, entry):
        is_same = (entry.born_ms, entry.service, entry.address) == (
            self.born_ms,
            self.service,
            self.address,
        )
        return is_same and entry.sequence > self.sequence


class LifeOrder:
    """
    Gives each life of a server a start after that of the life before.

    Servers state their start by their own clock. One that starts again after its clock
    has stepped back states an earlier start, and would count as its own former life for
    good: its departure would be acknowledged and not acted upon. A life that goes on
    announcing itself while the known one is silent is the present one.
    """

    __slots__ = ("_claims", "_starts")

    def __init__(self):
        self._claims = {}
        self._starts = {}

    def resolve(self, entry, known, known_heard_s, now):
        """
        Find the start under which an announcement counts.

        Parameters
        ----------
        entry : ServerEntry
            As stated.
        known : ServerEntry or None
            The newest one of its id.
        known_heard_s : float
            When the known life was heard of last, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        ServerEntry or None
            None if it can't be told yet whether it is of the present life.
        """
        if known is None or not entry.born_ms:
            return entry
        entry_start = self.start_of(entry.id, entry.born_ms)
        if entry_start >= known.born_ms:
            self._claims.pop(entry.id, None)
            return entry.replace(born_ms=entry_start)
        claim = self._claims.get(entry.id)
        if claim is None or known_heard_s > claim.since_s:
            claim = None
        if claim is None or not claim.is_continued_by(entry):
            self._claims[entry.id] = _claim_of(entry, now)
            return None
        if now - claim.since_s < _MIN_SPAN_S:
            self._claims[entry.id] = claim.replace(sequence=entry.sequence)
            return None
        del self._claims[entry.id]
        self._starts[entry.id] = (entry.born_ms, known.born_ms + 1)
        return entry.replace(born_ms=known.born_ms + 1)

    def start_of(self, id, born_ms):
        """
        Give the start under which a life counts.

        Parameters
        ----------
        id : str
        born_ms : int or None
            As stated.

        Returns
        -------
        int or None
        """
        stated_ms, start_ms = self._starts.get(id, (None, None))
        return start_ms if born_ms == stated_ms and born_ms is not None else born_ms

    def is_unsettled(self, id, born_ms):
        """Return whether a life is announced that may be the present one."""
        claim = self._claims.get(id)
        return claim is not None and claim.born_ms == born_ms

    def forget(self, ids):
        """Drop what is kept of some servers."""
        for id in ids:
            self._claims.pop(id, None)
            self._starts.pop(id, None)


def _claim_of(entry, now):
    return _Claim(entry.born_ms, entry.service, entry.address, entry.sequence, now)
