"""Encoding of register records as JSON-serialisable values, for messages and logs."""

from functools import singledispatch

from gooseberryyoke.record import Record
from gooseberryyoke.register import cell, changes, identity, messages
from gooseberryyoke.register.ballot import Ballot
from gooseberryyoke.register.exceptions import UndecodableRecord

__all__ = ["decode", "encode"]

_RECORD_CLASSES = {
    name: getattr(module, name)
    for module in (changes, messages)
    for name in module.__all__
}


@singledispatch
def _encode_field(field):
    return field


@_encode_field.register
def _(field: Record):
    return [_encode_field(getattr(field, name)) for name in field.fields()]


@_encode_field.register
def _(field: cell.Cell):
    # The value belongs to the caller and is stored unchanged.
    return [field.version, field.value, field.operation, field.previous]


@_encode_field.register
def _(field: list):
    return [_encode_field(item) for item in field]


@_encode_field.register
def _(field: dict):
    return {name: _encode_field(item) for name, item in field.items()}


def _decode_string(packed):
    if type(packed) is not str:
        raise TypeError(f"{packed!r} is no text")
    return packed


def _decode_count(packed):
    if type(packed) is not int or packed < 0:
        raise TypeError(f"{packed!r} is no whole number from 0")
    return packed


def _decode_boolean(packed):
    if type(packed) is not bool:
        raise TypeError(f"{packed!r} is neither true nor false")
    return packed


def _decode_ballot(packed):
    counter, proposer = packed
    return Ballot(_decode_count(counter), _decode_string(proposer))


def _decode_cell(packed):
    version, value, operation, previous = packed
    return cell.Cell(
        _decode_count(version),
        value,
        _decode_string(operation),
        _decode_count(previous),
    )


def _decode_slot(packed):
    promised, accepted, content, copied = packed
    return cell.Slot(
        _decode_ballot(promised),
        _decode_ballot(accepted),
        _decode_cell(content),
        _decode_boolean(copied),
    )


def _decode_incarnation(packed):
    generation, nonce = packed
    return identity.Incarnation(_decode_count(generation), _decode_string(nonce))


def _decode_roster(packed):
    return {seat: _decode_incarnation(item) for seat, item in packed.items()}


def _decode_incarnations_by_seat(packed):
    return {
        seat: [_decode_incarnation(item) for item in items]
        for seat, items in packed.items()
    }


def _decode_sender_view(packed):
    seat, incarnation, roster = packed
    return identity.SenderView(
        seat, _decode_incarnation(incarnation), _decode_roster(roster)
    )


def _decode_slots(packed):
    return [messages.KeyedSlot(key, _decode_slot(slot)) for key, slot in packed]


# Fields are type-checked since a replica stores them permanently and sends them to
# others. A key of another type would be compared with the other keys, and a ballot of
# another type with each later ballot; every request that does so would fail, also
# after a restart.
_FIELD_DECODERS = {
    "key": _decode_string,
    "prefix": _decode_string,
    "after": _decode_string,
    "seat": _decode_string,
    "nonce": _decode_string,
    "address": _decode_string,
    "limit": _decode_count,
    "position": _decode_count,
    "floor": _decode_count,
    "fresh": _decode_boolean,
    "copied": _decode_boolean,
    "ballot": _decode_ballot,
    "promised": _decode_ballot,
    "accepted": _decode_ballot,
    "cell": _decode_cell,
    "slot": _decode_slot,
    "slots": _decode_slots,
    "sender": _decode_sender_view,
    "incarnation": _decode_incarnation,
    "former": _decode_incarnation,
    "successor": _decode_incarnation,
    "founders": _decode_roster,
    "joined": _decode_incarnations_by_seat,
}


def encode(record):
    """
    Convert a message or a change to a JSON-serialisable value.

    Parameters
    ----------
    record : Record
        Instance of a class of `gooseberryyoke.register.messages` or ``.changes``.

    Returns
    -------
    list
        Class name, followed by the fields in the order of their slots.

    Examples
    --------
    >>> encode(messages.Prepare("k", Ballot(3, "p")))
    ['Prepare', 'k', [3, 'p']]
    """
    return [type(record).__name__, *_encode_field(record)]


def decode(packed):
    """
    Convert an encoded value to its record; the inverse of `encode`.

    Parameters
    ----------
    packed : list
        Value returned by `encode`, possibly serialised to JSON and parsed since.

    Returns
    -------
    Record
        The message or change.

    Raises
    ------
    UndecodableRecord
        If ``packed`` is not an encoded message or change.
    """
    try:
        cls = _RECORD_CLASSES[packed[0]]
        names = cls.__slots__
        if len(names) != len(packed) - 1:
            raise ValueError(f"{len(packed) - 1} fields, expected {len(names)}")
        return cls(
            **{
                name: _FIELD_DECODERS[name](item) if name in _FIELD_DECODERS else item
                for name, item in zip(names, packed[1:], strict=True)
            }
        )
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as exc:
        raise UndecodableRecord(f"{str(packed)[:200]} is not a record: {exc}") from exc
