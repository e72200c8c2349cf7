"""Encoding of orders as JSON-serialisable values."""

from gooseberryyoke.order.exceptions import MalformedOrderError
from gooseberryyoke.order.order import (
    ChangeRole,
    LoadAdapter,
    LoadModel,
    Order,
    UnloadAdapter,
    UnloadModel,
    WarmModel,
)

__all__ = ["action_kind", "decode_order", "encode_order"]

_CLASS_BY_KIND = {
    "load-model": LoadModel,
    "warm-model": WarmModel,
    "unload-model": UnloadModel,
    "load-adapter": LoadAdapter,
    "unload-adapter": UnloadAdapter,
    "change-role": ChangeRole,
}
_KIND_BY_CLASS = {cls: kind for kind, cls in _CLASS_BY_KIND.items()}
_FIELD_TYPES = {"fence": int, "incarnation": str, "number": int, "action": dict}


def action_kind(action):
    """
    Return the kind of an action.

    Parameters
    ----------
    action : Record
        Action of an order.

    Returns
    -------
    str
        Name of the kind in encoded orders.

    Examples
    --------
    >>> action_kind(ChangeRole("decode"))
    'change-role'
    """
    return _KIND_BY_CLASS[type(action)]


def encode_order(order):
    """
    Encode an order as a JSON-serialisable dict.

    Parameters
    ----------
    order : Order

    Returns
    -------
    dict
    """
    action = order.action.as_dict()
    return {
        "fence": order.fence,
        "incarnation": order.incarnation,
        "number": order.number,
        "action": {"kind": action_kind(order.action), **action},
    }


def decode_order(data):
    """
    Decode the result of `encode_order` and validate each field.

    Parameters
    ----------
    data : object
        Parsed JSON.

    Returns
    -------
    Order

    Raises
    ------
    MalformedOrderError
        If a field is missing, unknown or of the wrong type.
    """
    if not isinstance(data, dict) or set(data) != set(_FIELD_TYPES):
        raise MalformedOrderError(f"{data!r}: expected fields {sorted(_FIELD_TYPES)}")
    for name, expected in _FIELD_TYPES.items():
        if type(data[name]) is not expected:
            detail = f"{name} {data[name]!r}: expected {expected.__name__}"
            raise MalformedOrderError(detail)
    return Order(**{**data, "action": _decode_action(data["action"])})


def _decode_action(data):
    fields = dict(data)
    kind = fields.pop("kind", None)
    cls = _CLASS_BY_KIND.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise MalformedOrderError(
            f"kind {kind!r}: expected one of {sorted(_CLASS_BY_KIND)}"
        )
    names = {name for base in cls.__mro__ for name in getattr(base, "__slots__", ())}
    if set(fields) != names or not all(
        isinstance(value, str) for value in fields.values()
    ):
        raise MalformedOrderError(f"{data!r}: expected strings for {sorted(names)}")
    return cls(**fields)
