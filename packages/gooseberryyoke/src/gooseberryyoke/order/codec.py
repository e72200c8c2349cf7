"""Orders as JSON-able values."""

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

_KINDS = {
    "load-model": LoadModel,
    "warm-model": WarmModel,
    "unload-model": UnloadModel,
    "load-adapter": LoadAdapter,
    "unload-adapter": UnloadAdapter,
    "change-role": ChangeRole,
}
_BY_CLASS = {cls: kind for kind, cls in _KINDS.items()}
_FIELDS = {"fence": int, "incarnation": str, "number": int, "action": dict}


def action_kind(action):
    """
    Name the kind of an action.

    Parameters
    ----------
    action : Record

    Returns
    -------
    str

    Examples
    --------
    >>> action_kind(ChangeRole("decode"))
    'change-role'
    """
    return _BY_CLASS[type(action)]


def encode_order(order):
    """
    Turn an order into a dict for JSON.

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
    Undo `encode_order`, checking each field.

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
        If a field is missing, unknown or of another type.
    """
    if not isinstance(data, dict) or set(data) != set(_FIELDS):
        raise MalformedOrderError(f"{data!r}: expected fields {sorted(_FIELDS)}")
    for name, expected in _FIELDS.items():
        if type(data[name]) is not expected:
            detail = f"{name} {data[name]!r}: expected {expected.__name__}"
            raise MalformedOrderError(detail)
    return Order(**{**data, "action": _decode_action(data["action"])})


def _decode_action(data):
    fields = dict(data)
    kind = fields.pop("kind", None)
    cls = _KINDS.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise MalformedOrderError(f"kind {kind!r}: expected one of {sorted(_KINDS)}")
    names = {name for base in cls.__mro__ for name in getattr(base, "__slots__", ())}
    if set(fields) != names or not all(
        isinstance(value, str) for value in fields.values()
    ):
        raise MalformedOrderError(f"{data!r}: expected strings for {sorted(names)}")
    return cls(**fields)
