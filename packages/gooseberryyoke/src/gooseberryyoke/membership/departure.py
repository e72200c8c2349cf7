"""Departures of backend servers: incarnations that take no further requests."""

from gooseberryyoke.membership.server_state import ServerState
from gooseberryyoke.record import Record

__all__ = ["DEPARTURE_LISTED_S", "Departure", "DepartureBook"]

DEPARTURE_LISTED_S = 120.0
"""How long a departure stays in the durable state, in seconds. It is longer than the
time for which a server serves on or any announcement can be in transit."""
_KNOWN_S = 2 * DEPARTURE_LISTED_S
"""How long a process knows a departure, in seconds. It must not forget one that is
still listed."""
_MAX_ID_CHARS = 256


class Departure(Record):
    """
    A server's statement that one of its incarnations takes no further requests.

    It is final: a departed incarnation does not become ready again.

    Parameters
    ----------
    id : str
        Identifier of the server.
    born_ms : int
        Start of the incarnation, in ms of Unix time; 0 if not stated.
    sequence : int
        Sequence number of the announcement, 0 if not stated.
    state : ServerState
        ``DRAINING`` or ``GONE``.
    """

    __slots__ = ("id", "born_ms", "sequence", "state")

    def __init__(self, id, born_ms, sequence, state):
        self.id = id
        self.born_ms = born_ms
        self.sequence = sequence
        self.state = state

    @property
    def order_key(self):
        """Sort key that orders the departures of one id."""
        return (self.born_ms, self.state is ServerState.GONE)

    def to_json(self):
        """
        Encode as a JSON-compatible value.

        Returns
        -------
        list
            The fields.
        """
        return [self.id, self.born_ms, self.sequence, self.state.value]

    @classmethod
    def from_json(cls, packed):
        """
        Decode the result of `to_json`.

        Parameters
        ----------
        packed : object
            The received value, not yet checked.

        Returns
        -------
        Departure

        Raises
        ------
        ValueError
            If the value is malformed.
        """
        if not isinstance(packed, list) or len(packed) != 4:
            raise ValueError(f"{packed!r:.80} is no departure")
        id, born_ms, sequence, state = packed
        if not isinstance(id, str) or not 0 < len(id) <= _MAX_ID_CHARS:
            raise ValueError(f"{id!r:.40} is no id of a server")
        if type(born_ms) is not int or type(sequence) is not int:
            raise ValueError(f"{packed!r:.80} has a number that is not whole")
        if state not in (ServerState.DRAINING.value, ServerState.GONE.value):
            raise ValueError(f"{state!r:.40} is no state of a departure")
        return cls(id, born_ms, sequence, ServerState(state))


class DepartureBook:
    """
    Departures that a process knows, the latest of each id.

    Attributes
    ----------
    change_numbers : dict of str to int
        For each id, the number under which its departure was recorded.
    """

    __slots__ = ("change_numbers", "_latest", "_recorded_s")

    def __init__(self):
        self.change_numbers = {}
        self._latest = {}
        self._recorded_s = {}

    def record(self, departure, change_number, now):
        """
        Record a departure unless it, or a later one of its id, is known.

        Parameters
        ----------
        departure : Departure
            The departure.
        change_number : int
            Number under which followers are told of it.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether it was recorded.
        """
        self._remove_expired(now)
        known = self._latest.get(departure.id)
        if known is not None and known.order_key >= departure.order_key:
            return False
        self._latest[departure.id] = departure
        # Taken out first, so that the order stays that of recording.
        self._recorded_s.pop(departure.id, None)
        self._recorded_s[departure.id] = now
        self.change_numbers[departure.id] = change_number
        return True

    def _remove_expired(self, now):
        for id, recorded_s in list(self._recorded_s.items()):
            if now - recorded_s <= _KNOWN_S:
                return
            del self._latest[id], self._recorded_s[id], self.change_numbers[id]

    def covers(self, id, born_ms):
        """
        Return whether an incarnation is known to have departed.

        Parameters
        ----------
        id : str
            Identifier of the server.
        born_ms : int
            Start of the incarnation, in ms of Unix time.

        Returns
        -------
        bool
        """
        known = self._latest.get(id)
        return known is not None and born_ms <= known.born_ms

    def apply_to(self, entry):
        """
        Return an announcement as it holds after the known departures.

        Parameters
        ----------
        entry : ServerEntry
            The announcement.

        Returns
        -------
        ServerEntry
            With the state of the departure if that came later; else ``entry`` itself.
        """
        if not self.covers(entry.id, entry.born_ms):
            return entry
        known = self._latest[entry.id]
        sequence = max(entry.sequence, known.sequence)
        after = entry.replace(state=known.state, sequence=sequence)
        if entry.state is ServerState.READY or after.order_key > entry.order_key:
            return after
        return entry

    def since(self, change_number):
        """
        List the departures that were recorded after a number of changes.

        Parameters
        ----------
        change_number : int
            The number of changes.

        Returns
        -------
        list of Departure
        """
        return [
            self._latest[id]
            for id, number in self.change_numbers.items()
            if number > change_number
        ]
