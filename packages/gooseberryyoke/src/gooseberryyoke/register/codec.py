"""Records of registers as JSON-able values, for messages and for the log."""

from functools import singledispatch

from gooseberryyoke.record import Record
from gooseberryyoke.register import cell, changes, identity, messages
from gooseberryyoke.register.ballot import Ballot
from gooseberryyoke.register.exceptions import UndecodableRecord

__all__ = ["decode", "encode"]

_TYPES = {
    name: getattr(module, name)
    for module in (changes, messages)
    for name in module.__all__
}


@singledispatch
def _pack(field):
    return field


@_pack.register
def _(field: Record):
    return [_pack(getattr(field, name)) for name in field.fields()]


@_pack.register
def _(field: cell.Cell):
    # The value is the caller's and stays as it is.
    return [field.version, field.value, field.operation, field.previous]


@_pack.register
def _(field: list):
    return [_pack(item) for item in field]


@_pack.register
def _(field: dict):
    return {name: _pack(item) for name, item in field.items()}


def _text(packed):
    if type(packed) is not str:
        raise TypeError(f"{packed!r} is no text")
    return packed


def _count(packed):
    if type(packed) is not int or packed < 0:
        raise TypeError(f"{packed!r} is no whole number from 0")
    return packed


def _flag(packed):
    if type(packed) is not bool:
        raise TypeError(f"{packed!r} is neither true nor false")
    return packed


def _ballot(packed):
    counter, proposer = packed
    return Ballot(_count(counter), _text(proposer))


def _cell(packed):
    version, value, operation, previous = packed
    return cell.Cell(_count(version), value, _text(operation), _count(previous))


def _slot(packed):
    promised, accepted, content, copied = packed
    return cell.Slot(
        _ballot(promised), _ballot(accepted), _cell(content), _flag(copied)
    )


def _incarnation(packed):
    generation, nonce = packed
    return identity.Incarnation(_count(generation), _text(nonce))


def _roster(packed):
    return {seat: _incarnation(item) for seat, item in packed.items()}


def _incarnations(packed):
    return {
        seat: [_incarnation(item) for item in items] for seat, items in packed.items()
    }


def _stamp(packed):
    seat, incarnation, roster = packed
    return identity.Stamp(seat, _incarnation(incarnation), _roster(roster))


def _slots(packed):
    return [messages.KeyedSlot(key, _slot(slot)) for key, slot in packed]


# What a replica keeps of a message it keeps for good and passes on. A key or a
# ballot of another type would stand in the order of the keys or be compared with
# each later ballot, and fail every request that meets it, also after a restart.
_UNPACK = {
    "key": _text,
    "prefix": _text,
    "after": _text,
    "seat": _text,
    "nonce": _text,
    "limit": _count,
    "position": _count,
    "floor": _count,
    "fresh": _flag,
    "copied": _flag,
    "ballot": _ballot,
    "promised": _ballot,
    "accepted": _ballot,
    "cell": _cell,
    "slot": _slot,
    "slots": _slots,
    "sender": _stamp,
    "incarnation": _incarnation,
    "former": _incarnation,
    "founders": _roster,
    "joined": _incarnations,
}


def encode(record):
    """
    Turn a message or a change into a JSON-able value.

    Parameters
    ----------
    record : Record
        A class of `gooseberryyoke.register.messages` or ``.changes``.

    Returns
    -------
    list
        The class name and the fields in order.

    Examples
    --------
    >>> encode(messages.Prepare("k", Ballot(3, "p")))
    ['Prepare', 'k', [3, 'p']]
    """
    return [type(record).__name__, *_pack(record)]


def decode(packed):
    """
    Undo `encode`.

    Parameters
    ----------
    packed : list
        What `encode` returned, also after a round through JSON.

    Returns
    -------
    Record

    Raises
    ------
    UndecodableRecord
        If it isn't such a value.
    """
    try:
        cls = _TYPES[packed[0]]
        names = cls.__slots__
        if len(names) != len(packed) - 1:
            raise ValueError(f"{len(packed) - 1} fields, expected {len(names)}")
        return cls(
            **{
                name: _UNPACK[name](item) if name in _UNPACK else item
                for name, item in zip(names, packed[1:], strict=True)
            }
        )
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as exc:
        raise UndecodableRecord(f"{str(packed)[:200]} is not a record: {exc}") from exc
