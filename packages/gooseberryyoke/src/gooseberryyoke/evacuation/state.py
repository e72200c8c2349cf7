"""State of evacuated data centres, and the orders that change it."""

from enum import Enum

from gooseberryyoke.record import Record

__all__ = ["EvacuationOrder", "EvacuationState", "OrderKind", "is_data_centre_name"]

_MAX_DATA_CENTRES = 64
_MAX_NAME_LENGTH = 128
_MAX_EXACT_INT = 2**53
"""Every JSON parser represents integers up to this limit exactly."""


class OrderKind(Enum):
    """Kind of an order: starts or ends the evacuation of a data centre."""

    START = "start"
    END = "end"


class EvacuationOrder(Record):
    """
    Order of an operator to start or end an evacuation.

    Parameters
    ----------
    kind : OrderKind
        Whether the evacuation starts or ends.
    data_centre : str
        Name of the data centre.
    """

    __slots__ = ("kind", "data_centre")

    def __init__(self, kind, data_centre):
        self.kind = kind
        self.data_centre = data_centre


class EvacuationState(Record):
    """
    Set of evacuated data centres at one revision.

    Parameters
    ----------
    revision : int
        Increases by one with each change; 0 before the first one.
    since_ms : dict of str to int
        For each evacuated data centre, when the evacuation was ordered, in ms of Unix
        time by the clock of the control process that accepted the order. It is only
        displayed to operators.
    """

    __slots__ = ("revision", "since_ms")

    def __init__(self, revision=0, since_ms=()):
        self.revision = revision
        self.since_ms = dict(since_ms)

    @property
    def data_centres(self):
        """Names of the evacuated data centres, sorted."""
        return sorted(self.since_ms)

    def covers(self, data_centre):
        """Return whether a data centre is evacuated."""
        return data_centre in self.since_ms

    def satisfies(self, order):
        """
        Return whether the state already is as ordered.

        Parameters
        ----------
        order : EvacuationOrder
            The order; it would change nothing if it is already satisfied.

        Returns
        -------
        bool
        """
        return self.covers(order.data_centre) is (order.kind is OrderKind.START)

    def apply(self, order, now_ms):
        """
        Apply an order and return the resulting state.

        Parameters
        ----------
        order : EvacuationOrder
            The order to apply.
        now_ms : int
            Current Unix time, in ms.

        Returns
        -------
        EvacuationState
            This object if it already satisfies the order.

        Raises
        ------
        ValueError
            If too many data centres would be evacuated.
        """
        if self.satisfies(order):
            return self
        since_ms = dict(self.since_ms)
        if order.kind is OrderKind.END:
            del since_ms[order.data_centre]
        else:
            since_ms[order.data_centre] = now_ms
        return parse_state(self.revision + 1, since_ms)

    def to_json(self):
        """
        Encode as a JSON-compatible value.

        Returns
        -------
        list
            Revision and the dictionary ``since_ms``.
        """
        return [self.revision, self.since_ms]

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
        EvacuationState

        Raises
        ------
        ValueError
            If the value is malformed.
        """
        if not isinstance(packed, list) or len(packed) != 2:
            raise ValueError(f"{packed!r:.80} is no revision with data centres")
        return parse_state(*packed)


def parse_state(revision, since_ms):
    """
    Create a state from values that may be malformed.

    Parameters
    ----------
    revision, since_ms : object
        Values of the fields of `EvacuationState`, not yet checked.

    Returns
    -------
    EvacuationState

    Raises
    ------
    ValueError
        If a value is malformed or out of bounds.
    """
    if not _is_exact_int(revision):
        raise ValueError(f"revision {revision!r:.40} is no whole number from 0")
    if not isinstance(since_ms, dict):
        raise ValueError(f"{since_ms!r:.80} names no data centres")
    if len(since_ms) > _MAX_DATA_CENTRES:
        raise ValueError(f"more than {_MAX_DATA_CENTRES} data centres")
    if since_ms and revision == 0:
        raise ValueError("data centres evacuated at revision 0")
    for name, ms in since_ms.items():
        if not is_data_centre_name(name):
            raise ValueError(f"{name!r:.40} is no name of a data centre")
        if not _is_exact_int(ms):
            raise ValueError(f"time {ms!r:.40} of {name} is no whole number of ms")
    return EvacuationState(revision, since_ms)


def is_data_centre_name(name):
    """
    Return whether a value is a valid name of a data centre.

    Parameters
    ----------
    name : object
        The value, which may have any type.

    Returns
    -------
    bool
        True for a string of 1 to 128 printable characters without a slash.
    """
    return (
        isinstance(name, str)
        and 0 < len(name) <= _MAX_NAME_LENGTH
        and name.isprintable()
        and "/" not in name
    )


def _is_exact_int(value):
    return type(value) is int and 0 <= value < _MAX_EXACT_INT
