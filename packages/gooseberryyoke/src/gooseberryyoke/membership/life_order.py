"""Which of several lives that announce themselves is the present one."""

from gooseberryyoke.membership.server_state import ServerState
from gooseberryyoke.record import Record

__all__ = ["LifeOrder", "Rival"]

_MIN_SPAN_S = 0.5
"""Time in seconds from the first announcement of a life that has a rival to the one
from which it counts. What a frozen process finds waiting is read within less."""
_MOST_BEHIND = 10**9
"""By which the sequence of a late announcement may lie behind the newest one, also
where a server takes the time of day in ms for it."""


class _Claim(Record):
    """
    Announcements of a life that has a rival.

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


class Rival(Record):
    """
    An entry that may stand against an announcement.

    Parameters
    ----------
    entry : ServerEntry
    heard_s : float
        When it was heard of last, in seconds.
    """

    __slots__ = ("entry", "heard_s")

    def __init__(self, entry, heard_s):
        self.entry = entry
        self.heard_s = heard_s

    def is_against(self, entry, start_ms, is_first_word):
        """
        Return whether only this one or the announcement can hold.

        Parameters
        ----------
        entry : ServerEntry
        start_ms : int
            Under which the announcement counts.
        is_first_word : bool
            Whether nothing but one announcement supports this entry.

        Returns
        -------
        bool
        """
        if self.entry.id != entry.id:
            return self.entry.state is not ServerState.GONE
        if self.entry.born_ms != start_ms:
            return self.entry.born_ms > start_ms
        if is_first_word and not self.entry.has_endpoint_of(entry):
            return True
        return self._is_far_ahead(entry)

    def _is_far_ahead(self, entry):
        # A server that leaves must not come back by its own late announcements.
        are_ready = self.entry.state is entry.state is ServerState.READY
        return are_ready and self.entry.sequence - entry.sequence > _MOST_BEHIND


class LifeOrder:
    """
    Gives each life of a server a start after that of the life before.

    Servers state their start by their own clock. One that starts again after its clock
    has stepped back states an earlier start, and would count as its own former life for
    good: its departure would be acknowledged and not acted upon. And one odd entry with
    a late start or a high sequence under its id, or at its address, would keep a sound
    server out, as would one that was read before the server's own announcements. So a
    life only takes another's place if it goes on announcing itself while the other is
    silent.
    """

    __slots__ = ("_claims", "_first_words", "_starts")

    def __init__(self):
        self._claims = {}
        self._first_words = set()
        self._starts = {}

    def resolve(self, entry, rivals, now):
        """
        Find the start under which an announcement counts.

        Parameters
        ----------
        entry : ServerEntry
            As stated.
        rivals : list of Rival
            The newest entry of its id, and the one that holds its address.
        now : float
            Current time, in seconds.

        Returns
        -------
        ServerEntry or None
            None if it can't be told yet whether it is of a present life.
        """
        if not entry.born_ms:
            return entry
        start_ms = self.start_of(entry.id, entry.born_ms)
        against = [
            rival
            for rival in rivals
            if rival.is_against(entry, start_ms, rival.entry.id in self._first_words)
        ]
        if not against:
            self._claims.pop(entry.id, None)
            self._count_word(entry.id, start_ms, rivals)
            return entry.replace(born_ms=start_ms)
        if not self._is_proved(entry, max(rival.heard_s for rival in against), now):
            return None
        del self._claims[entry.id]
        latest_ms = max(rival.entry.born_ms for rival in against)
        if latest_ms >= start_ms:
            start_ms = latest_ms + 1
            self._starts[entry.id] = (entry.born_ms, start_ms)
        return entry.replace(born_ms=start_ms)

    def _count_word(self, id, start_ms, rivals):
        """Note whether a life has announced itself more than once."""
        known = {(rival.entry.id, rival.entry.born_ms) for rival in rivals}
        if (id, start_ms) in known:
            self._first_words.discard(id)
        else:
            self._first_words.add(id)

    def _is_proved(self, entry, rival_heard_s, now):
        claim = self._claims.get(entry.id)
        is_alone = claim is not None and rival_heard_s <= claim.since_s
        if not is_alone or not claim.is_continued_by(entry):
            self._claims[entry.id] = _claim_of(entry, now)
            return False
        self._claims[entry.id] = claim.replace(sequence=entry.sequence)
        return now - claim.since_s >= _MIN_SPAN_S

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
            self._first_words.discard(id)
            self._starts.pop(id, None)


def _claim_of(entry, now):
    return _Claim(entry.born_ms, entry.service, entry.address, entry.sequence, now)
