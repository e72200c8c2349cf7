"""Orders to model engines and the replies to them."""

from enum import Enum

from gooseberryyoke.record import Record

__all__ = [
    "ChangeRole",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "OrderOutcome",
    "OrderReply",
    "UnloadAdapter",
    "UnloadModel",
    "WarmModel",
    "order_number",
]

_COUNTER_BITS = 20


class _ModelAction(Record):
    """
    Base class of the actions on one version of a model.

    Parameters
    ----------
    model, version : str
        Name of the model and of its version.
    """

    __slots__ = ("model", "version")

    def __init__(self, model, version):
        self.model = model
        self.version = version


class LoadModel(_ModelAction):
    """Action that loads the weights of a version without unloading other weights."""

    __slots__ = ()


class WarmModel(_ModelAction):
    """Action that warms up a loaded version until it answers at full speed."""

    __slots__ = ()


class UnloadModel(_ModelAction):
    """Action that unloads the weights of a version."""

    __slots__ = ()


class LoadAdapter(Record):
    """
    Action that loads an adapter of a model.

    Parameters
    ----------
    model, adapter : str
        Name of the model and of the adapter.
    """

    __slots__ = ("model", "adapter")

    def __init__(self, model, adapter):
        self.model = model
        self.adapter = adapter


class UnloadAdapter(LoadAdapter):
    """Action that unloads an adapter of a model."""

    __slots__ = ()


class ChangeRole(Record):
    """
    Action that changes the role of the engine.

    Parameters
    ----------
    role : str
        New role, such as ``prefill`` or ``decode``.
    """

    __slots__ = ("role",)

    def __init__(self, role):
        self.role = role


class Order(Record):
    """
    An order to the engine of one agent.

    Parameters
    ----------
    fence : int
        Fencing number of the sender's lease.
    incarnation : object
        Incarnation of the agent whose state the sender has read; any other
        incarnation refuses the order.
    number : int
        Identifier of the order; a repeat has the same number, even if it comes from
        another sender.
    action : LoadModel, WarmModel, UnloadModel, LoadAdapter, UnloadAdapter, ChangeRole
        Action that the engine is to perform.
    """

    __slots__ = ("fence", "incarnation", "number", "action")

    def __init__(self, fence, incarnation, number, action):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.action = action


class OrderOutcome(Enum):
    """Outcome of an order: its progress, or the reason for its refusal."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    OLD_FENCE = "old-fence"
    OLD_INCARNATION = "old-incarnation"
    OLD_NUMBER = "old-number"
    CONFLICT = "conflict"


class OrderReply(Record):
    """
    The reply to an order.

    Parameters
    ----------
    number : int
        Number of the order.
    outcome : OrderOutcome
        Outcome of the order.
    detail : str
        Reason if the order was refused, or the engine's error message if it failed;
        otherwise empty.
    """

    __slots__ = ("number", "outcome", "detail")

    def __init__(self, number, outcome, detail=""):
        self.number = number
        self.outcome = outcome
        self.detail = detail


def order_number(fence, counter):
    """
    Compose the number of an order from the fencing number and a counter.

    Later lease holders have higher fencing numbers and so higher order numbers.

    Parameters
    ----------
    fence : int
        Fencing number of the sender's lease.
    counter : int
        Increases with each order under this fencing number; below 2**20.

    Returns
    -------
    int
        The fencing number, shifted by 20 bits, with the counter in the low bits.

    Raises
    ------
    ValueError
        If the counter is out of range.

    Examples
    --------
    >>> order_number(2, 0) > order_number(1, 999)
    True
    """
    if not 0 <= counter < 1 << _COUNTER_BITS:
        raise ValueError(f"counter {counter}: expected 0 to {(1 << _COUNTER_BITS) - 1}")
    return fence << _COUNTER_BITS | counter
