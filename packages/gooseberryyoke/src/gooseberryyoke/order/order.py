"""Orders to model engines and the answers to them."""

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
    Base of the actions on one version of a model.

    Parameters
    ----------
    model, version : str
    """

    __slots__ = ("model", "version")

    def __init__(self, model, version):
        self.model = model
        self.version = version


class LoadModel(_ModelAction):
    """Load the weights of a version beside what is loaded."""

    __slots__ = ()


class WarmModel(_ModelAction):
    """Run a loaded version until it answers at full speed."""

    __slots__ = ()


class UnloadModel(_ModelAction):
    """Drop the weights of a version."""

    __slots__ = ()


class LoadAdapter(Record):
    """
    Load an adapter of a model.

    Parameters
    ----------
    model, adapter : str
    """

    __slots__ = ("model", "adapter")

    def __init__(self, model, adapter):
        self.model = model
        self.adapter = adapter


class UnloadAdapter(LoadAdapter):
    """Drop an adapter of a model."""

    __slots__ = ()


class ChangeRole(Record):
    """
    Change the engine's role, such as ``prefill`` or ``decode``.

    Parameters
    ----------
    role : str
    """

    __slots__ = ("role",)

    def __init__(self, role):
        self.role = role


class Order(Record):
    """
    One order, as it is sent to an agent.

    Parameters
    ----------
    fence : int
        Fencing number of the sender's lease.
    incarnation : object
        Life of the agent that the sender has read; another life refuses.
    number : int
        Names the order; a repeat, also by another sender, has the same number.
    action : LoadModel, WarmModel, UnloadModel, LoadAdapter, ... or ChangeRole
    """

    __slots__ = ("fence", "incarnation", "number", "action")

    def __init__(self, fence, incarnation, number, action):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.action = action


class OrderOutcome(Enum):
    """What became of an order."""

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
    Answer to an order.

    Parameters
    ----------
    number : int
    outcome : OrderOutcome
    detail : str
        What was expected, for a refusal; the engine's words, for a failure.
    """

    __slots__ = ("number", "outcome", "detail")

    def __init__(self, number, outcome, detail=""):
        self.number = number
        self.outcome = outcome
        self.detail = detail


def order_number(fence, counter):
    """
    Name the next order of a lease holder; later holders get larger numbers.

    Parameters
    ----------
    fence : int
    counter : int
        Rises with each order under this fencing number, below 2**20.

    Returns
    -------
    int

    Examples
    --------
    >>> order_number(2, 0) > order_number(1, 999)
    True
    """
    if not 0 <= counter < 1 << _COUNTER_BITS:
        raise ValueError(f"counter {counter}: expected 0 to {(1 << _COUNTER_BITS) - 1}")
    return fence << _COUNTER_BITS | counter
