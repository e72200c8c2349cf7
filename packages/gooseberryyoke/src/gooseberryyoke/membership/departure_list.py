"""List of departures as the durable state holds it."""

from gooseberryyoke.membership.departure import DEPARTURE_LISTED_S, Departure

__all__ = ["DepartureList"]


class DepartureList:
    """
    Departures with the time at which each was listed, the latest of each id.

    Parameters
    ----------
    listed_ms : dict of Departure to int
        Unix time, in ms.

    Attributes
    ----------
    departures : list of Departure
        Sorted by id.
    """

    __slots__ = ("departures", "_listed_ms")

    def __init__(self, listed_ms=None):
        self._listed_ms = dict(listed_ms or {})
        self.departures = sorted(self._listed_ms, key=lambda departure: departure.id)

    def add(self, departures, now_ms):
        """
        Add departures and leave out those that were listed long ago.

        Parameters
        ----------
        departures : iterable of Departure
            The departures to add.
        now_ms : int
            Current Unix time, in ms.

        Returns
        -------
        DepartureList
        """
        # Also a time that a clock ahead of this one wrote ages from now on.
        known = {d: min(at_ms, now_ms) for d, at_ms in self._listed_ms.items()}
        known.update(dict.fromkeys(departures, now_ms))
        latest = {}
        for departure in known:
            other = latest.get(departure.id, departure)
            # Of two that state the same, the one added last, with its time.
            latest[departure.id] = max(departure, other, key=_order_key)
        oldest_ms = now_ms - 1000 * DEPARTURE_LISTED_S
        recent = [d for d in latest.values() if known[d] > oldest_ms]
        return DepartureList({departure: known[departure] for departure in recent})

    def to_json(self):
        """
        Encode as a JSON-compatible value.

        Returns
        -------
        list
            For each departure, its fields and when it was listed.
        """
        return [[d.to_json(), self._listed_ms[d]] for d in self.departures]

    @classmethod
    def from_json(cls, packed, on_malformed):
        """
        Decode the result of `to_json`.

        Parameters
        ----------
        packed : object
            The stored value, not yet checked; None counts as empty.
        on_malformed : callable
            Takes the ValueError of each item that is left out.

        Returns
        -------
        DepartureList
        """
        listed_ms = {}
        for item in packed if isinstance(packed, list) else ():
            try:
                departure, at_ms = _decode(item)
            except ValueError as exc:
                on_malformed(exc)
                continue
            listed_ms[departure] = at_ms
        return cls(listed_ms)


def _order_key(departure):
    return departure.order_key


def _decode(item):
    if not isinstance(item, list) or len(item) != 2:
        raise ValueError(f"{item!r:.80} is no listed departure")
    departure, at_ms = item
    if type(at_ms) is not int:
        raise ValueError(f"time {at_ms!r:.40} is no whole number of ms")
    return Departure.from_json(departure), at_ms
