"""Messages, reports and records of expert maps as JSON-able values."""

from gooseberryyoke.expert.decision import MapRecord
from gooseberryyoke.expert.exceptions import MalformedMessageError
from gooseberryyoke.expert.message import (
    Abort,
    Commit,
    Hello,
    MapSegment,
    Promise,
    RankReport,
    Restore,
    Retire,
    Stage,
    StagedMap,
)
from gooseberryyoke.record import Record

__all__ = ["decode_map_message", "encode_map_message", "map_message_kind"]

_KINDS = {
    cls.__name__.lower(): cls
    for cls in (
        Abort,
        Commit,
        Hello,
        MapRecord,
        MapSegment,
        Promise,
        RankReport,
        Restore,
        Retire,
        Stage,
        StagedMap,
    )
}
_NAMES = {"incarnation", "digest", "refused"}
_NESTED = {"before": MapSegment, "present": MapSegment, "staged": StagedMap}
_OPTIONAL = {"before", "present", "staged", "hold_step", "refused"}


def map_message_kind(message):
    """
    Name the kind of a message, as in its route.

    Parameters
    ----------
    message : Record

    Returns
    -------
    str

    Examples
    --------
    >>> map_message_kind(Hello(3))
    'hello'
    """
    return type(message).__name__.lower()


def encode_map_message(message):
    """
    Turn a message, report or record into a dict for JSON.

    Parameters
    ----------
    message : Record
        One of this package's; incarnations must be strings.

    Returns
    -------
    dict

    Examples
    --------
    >>> encode_map_message(Hello(3))
    {'fence': 3}
    """
    values = ((name, getattr(message, name)) for name in message.fields())
    return {
        name: encode_map_message(value) if isinstance(value, Record) else value
        for name, value in values
    }


def decode_map_message(kind, data):
    """
    Undo `encode_map_message`, checking each field.

    Parameters
    ----------
    kind : str
        As from `map_message_kind`.
    data : object
        Parsed JSON.

    Returns
    -------
    Record

    Raises
    ------
    MalformedMessageError
        If the kind is unknown, or a field is missing, unknown or of another type.
    """
    if kind not in _KINDS:
        raise MalformedMessageError(f"kind {kind!r}: expected one of {sorted(_KINDS)}")
    return _decode(_KINDS[kind], data)


def _decode(cls, data):
    names = sorted(
        name for base in cls.__mro__ for name in getattr(base, "__slots__", ())
    )
    if not isinstance(data, dict) or sorted(data) != names:
        raise MalformedMessageError(f"{data!r}: expected fields {names}")
    values = {name: _field(name, value) for name, value in data.items()}
    if cls is not RankReport and "present" in values and not values["present"]:
        raise MalformedMessageError(f"{data!r}: expected a present map")
    return cls(**values)


def _field(name, value):
    if value is None and name in _OPTIONAL:
        return None
    if name in _NESTED:
        return _decode(_NESTED[name], value)
    expected = str if name in _NAMES else bool if name == "ready" else int
    if type(value) is not expected:
        raise MalformedMessageError(f"{name} {value!r}: expected {expected.__name__}")
    return value
