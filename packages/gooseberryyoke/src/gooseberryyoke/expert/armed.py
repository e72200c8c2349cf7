"""Orders to ranks whose engines switch maps at a step that they are armed for."""

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
    "after_order",
    "order_from_json",
    "order_to_json",
    "progress_of",
]


class RankStatus(Record):
    """
    What a rank's engine says of its maps.

    Parameters
    ----------
    epoch : int
        Of the group; a new one begins with the first map and no orders.
    rank, size : int
    is_open : bool
        The group makes steps.
    sequence : int
        Orders that the engine has begun.
    step : int
        The last step that was begun.
    version : int
        Of the map in force.
    running : int
        Requests that the engine runs.
    prepared : int or None
        Version that is ready to be switched to.
    armed : tuple of (int, int) or None
        Version and step of the switch to come.
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
    Copy what a map needs.

    Parameters
    ----------
    version : int
    layout : list of list of list of int
        Experts by layer and rank.
    """

    __slots__ = ("version", "layout")

    def __init__(self, version, layout):
        self.version = version
        self.layout = layout


class Hold(Record):
    """Keep the whole group from beginning a step."""

    __slots__ = ("step",)

    def __init__(self, step):
        self.step = step


class Arm(Record):
    """Switch to a prepared map as a step begins."""

    __slots__ = ("version", "step")

    def __init__(self, version, step):
        self.version = version
        self.step = step


class Disarm(Record):
    """Stay with the map in force."""

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class Release(Record):
    """Let the group begin the step that it was held before."""

    __slots__ = ("step",)

    def __init__(self, step):
        self.step = step


class Progress(Enum):
    """How far an order is, by what the engine says afterwards."""

    OPEN = "open"
    DONE = "done"
    MISSED = "missed"


@singledispatch
def progress_of(order, status):
    """
    Tell from an engine's own state whether an order has taken effect.

    The answer to an order may be lost, and the order carried out seconds later. The
    state tells what an answer can't.

    Parameters
    ----------
    order : Prepare, Hold, Arm, Disarm or Release
    status : RankStatus

    Returns
    -------
    Progress
        ``MISSED`` if it can't take effect any more.
    """
    raise TypeError(f"{order!r} is no order to a rank")


@progress_of.register
def _(order: Prepare, status):
    known = status.prepared or 0
    if order.version in (known, status.version):
        return Progress.DONE
    later = max(known, status.version) > order.version
    return Progress.MISSED if later else Progress.OPEN


@progress_of.register
def _(order: Hold, status):
    if status.held == order.step:
        return Progress.DONE
    passed = status.step >= order.step
    return Progress.MISSED if passed or status.held is not None else Progress.OPEN


@progress_of.register
def _(order: Arm, status):
    if status.armed == (order.version, order.step) or status.version == order.version:
        return Progress.DONE
    passed = status.step >= order.step
    return Progress.MISSED if passed else Progress.OPEN


@progress_of.register
def _(order: Disarm, status):
    if status.version == order.version:
        return Progress.MISSED
    is_armed = status.armed is not None and status.armed[0] == order.version
    return Progress.OPEN if is_armed else Progress.DONE


@progress_of.register
def _(order: Release, status):
    return Progress.OPEN if status.held == order.step else Progress.DONE


@singledispatch
def after_order(order, status):
    """
    Give the state of an engine that has said that an order has taken effect.

    Parameters
    ----------
    order : Hold, Arm, Disarm or Release
    status : RankStatus
        As it was told before.

    Returns
    -------
    RankStatus
    """
    raise TypeError(f"{order!r} is no order whose effect is known at once")


@after_order.register
def _(order: Hold, status):
    return status.replace(held=order.step)


@after_order.register
def _(order: Arm, status):
    return status.replace(armed=(order.version, order.step))


@after_order.register
def _(order: Disarm, status):
    return status.replace(armed=None)


@after_order.register
def _(order: Release, status):
    return status.replace(held=None)


_ORDERS = {cls.__name__.lower(): cls for cls in (Prepare, Hold, Arm, Disarm, Release)}


def order_to_json(order):
    """
    Turn an order into a JSON-able value.

    Parameters
    ----------
    order : Prepare, Hold, Arm, Disarm or Release

    Returns
    -------
    list
        Its name, then its fields.
    """
    return [type(order).__name__.lower(), *order.as_list()]


def order_from_json(packed):
    """
    Undo `order_to_json`.

    Parameters
    ----------
    packed : list

    Returns
    -------
    Prepare, Hold, Arm, Disarm or Release

    Raises
    ------
    KeyError, TypeError, IndexError
        If it is no such value.
    """
    return _ORDERS[packed[0]](*packed[1:])
