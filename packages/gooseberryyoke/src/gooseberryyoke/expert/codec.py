"""Encoding of messages, reports and records of expert maps for JSON."""

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
_STRING_FIELDS = {"incarnation", "digest", "refused"}
_RECORD_FIELDS = {"before": MapSegment, "present": MapSegment, "staged": StagedMap}
_NULLABLE_FIELDS = {"before", "present", "staged", "hold_step", "refused"}


def map_message_kind(message):
    """
    Return the kind of a message, as it is used in its route.

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
    Convert a message, report or record to a dict for JSON.

    Parameters
    ----------
    message : Record
        Message, report or record of this package; its incarnation must be a string.

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
    Decode the result of `encode_map_message` and check each field.

    Parameters
    ----------
    kind : str
        Kind as returned by `map_message_kind`.
    data : object
        Parsed JSON.

    Returns
    -------
    Record

    Raises
    ------
    MalformedMessageError
        If the kind is unknown, or a field is missing, unknown or of the wrong type.
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
    values = {name: _decode_field(name, value) for name, value in data.items()}
    if cls is not RankReport and "present" in values and not values["present"]:
        raise MalformedMessageError(f"{data!r}: expected a present map")
    return cls(**values)


def _decode_field(name, value):
    if value is None and name in _NULLABLE_FIELDS:
        return None
    if name in _RECORD_FIELDS:
        return _decode(_RECORD_FIELDS[name], value)
    expected = str if name in _STRING_FIELDS else bool if name == "ready" else int
    if type(value) is not expected:
        raise MalformedMessageError(f"{name} {value!r}: expected {expected.__name__}")
    return value
