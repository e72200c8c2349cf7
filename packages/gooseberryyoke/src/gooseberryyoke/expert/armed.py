"""Orders to ranks whose engines switch maps at a step set in advance."""

from enum import Enum
from functools import singledispatch

from gooseberryyoke.record import Record

__all__ = [
    "Arm",
    "Disarm",
    "Hold",
    "Prepare",
    "Progress",
    "RankStatus",
    "Release",
    "apply_order",
    "order_from_json",
    "order_to_json",
    "order_progress",
]


class RankStatus(Record):
    """
    State of the maps of a rank as reported by its engine.

    Parameters
    ----------
    epoch : int
        Epoch of the group; a new one begins with the first map and no orders.
    rank, size : int
        Rank of the engine and number of ranks in the group.
    is_open : bool
        Whether the group runs steps.
    sequence : int
        Number of orders that the engine has begun.
    step : int
        Last step that was begun.
    version : int
        Version of the map in force.
    running : int
        Number of requests that the engine runs.
    prepared : int or None
        Version of the map that is ready for a switch.
    armed : tuple of (int, int) or None
        Version and step of the next switch.
    held : int or None
        Step that the group must not begin.
    """

    __slots__ = (
        "epoch",
        "rank",
        "size",
        "is_open",
        "sequence",
        "step",
        "version",
        "running",
        "prepared",
        "armed",
        "held",
    )

    def __init__(
        self,
        epoch,
        rank,
        size,
        is_open,
        sequence,
        step,
        version,
        running=0,
        prepared=None,
        armed=None,
        held=None,
    ):
        self.epoch = epoch
        self.rank = rank
        self.size = size
        self.is_open = is_open
        self.sequence = sequence
        self.step = step
        self.version = version
        self.running = running
        self.prepared = prepared
        self.armed = None if armed is None else tuple(armed)
        self.held = held


class Prepare(Record):
    """
    Order to copy the expert weights that a map needs.

    Parameters
    ----------
    version : int
        Version of the map.
    layout : list of list of list of int
        Experts by layer and rank.
    """

    __slots__ = ("version", "layout")

    def __init__(self, version, layout):
        self.version = version
        self.layout = layout


class Hold(Record):
    """Order that prevents the whole group from beginning a step."""

    __slots__ = ("step",)

    def __init__(self, step):
        self.step = step


class Arm(Record):
    """Order to switch to a prepared map when a step begins."""

    __slots__ = ("version", "step")

    def __init__(self, version, step):
        self.version = version
        self.step = step


class Disarm(Record):
    """Order to keep the map in force and cancel an armed switch."""

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class Release(Record):
    """Order to end the hold, so that the group can begin the step."""

    __slots__ = ("step",)

    def __init__(self, step):
        self.step = step


class Progress(Enum):
    """Progress of an order, judged by the state that the engine reports afterwards."""

    OPEN = "open"
    DONE = "done"
    MISSED = "missed"


@singledispatch
def order_progress(order, status):
    """
    Determine from an engine's state whether an order has taken effect.

    The answer to an order may be lost, and the order may be carried out seconds later.
    The state shows the effect in these cases, too.

    Parameters
    ----------
    order : Prepare, Hold, Arm, Disarm or Release
    status : RankStatus

    Returns
    -------
    Progress
        ``MISSED`` if the order can no longer take effect.
    """
    raise TypeError(f"{order!r} is not an order to a rank")


@order_progress.register
def _(order: Prepare, status):
    known = status.prepared or 0
    if order.version in (known, status.version):
        return Progress.DONE
    later = max(known, status.version) > order.version
    return Progress.MISSED if later else Progress.OPEN


@order_progress.register
def _(order: Hold, status):
    if status.held == order.step:
        return Progress.DONE
    passed = status.step >= order.step
    return Progress.MISSED if passed or status.held is not None else Progress.OPEN


@order_progress.register
def _(order: Arm, status):
    if status.armed == (order.version, order.step) or status.version == order.version:
        return Progress.DONE
    passed = status.step >= order.step
    return Progress.MISSED if passed else Progress.OPEN


@order_progress.register
def _(order: Disarm, status):
    if status.version == order.version:
        return Progress.MISSED
    is_armed = status.armed is not None and status.armed[0] == order.version
    return Progress.OPEN if is_armed else Progress.DONE


@order_progress.register
def _(order: Release, status):
    return Progress.OPEN if status.held == order.step else Progress.DONE


@singledispatch
def apply_order(order, status):
    """
    Compute the state of an engine after an order that it has confirmed.

    Parameters
    ----------
    order : Hold, Arm, Disarm or Release
    status : RankStatus
        State before the order.

    Returns
    -------
    RankStatus
        State after the order.
    """
    raise TypeError(f"{order!r} is not an order with an immediate effect")


@apply_order.register
def _(order: Hold, status):
    return status.replace(held=order.step)


@apply_order.register
def _(order: Arm, status):
    return status.replace(armed=(order.version, order.step))


@apply_order.register
def _(order: Disarm, status):
    return status.replace(armed=None)


@apply_order.register
def _(order: Release, status):
    return status.replace(held=None)


_ORDERS = {cls.__name__.lower(): cls for cls in (Prepare, Hold, Arm, Disarm, Release)}


def order_to_json(order):
    """
    Convert an order to a value for JSON.

    Parameters
    ----------
    order : Prepare, Hold, Arm, Disarm or Release

    Returns
    -------
    list
        Name of the order, then its fields.
    """
    return [type(order).__name__.lower(), *order.as_list()]


def order_from_json(packed):
    """
    Decode the result of `order_to_json`.

    Parameters
    ----------
    packed : list
        Name of the order, then its fields.

    Returns
    -------
    Prepare, Hold, Arm, Disarm or Release

    Raises
    ------
    KeyError, TypeError, IndexError
        If the value doesn't represent an order.
    """
    return _ORDERS[packed[0]](*packed[1:])
