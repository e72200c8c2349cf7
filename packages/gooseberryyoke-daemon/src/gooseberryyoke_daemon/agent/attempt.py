"""One attempt: the order that an entry gives, and how far it has got."""

from base64 import b64decode, b64encode
from math import inf, isfinite

from trio import CancelScope, Event

from gooseberryyoke.record import Record
from gooseberryyoke.stream import FrameLog
from gooseberryyoke_daemon.agent.exceptions import OrderError
from gooseberryyoke_daemon.wire import Request

__all__ = ["Attempt", "AttemptOrder"]


_SHOWN_CHARACTERS = 80
_KINDS = {
    "attempt": (str,),
    "entry": (str,),
    "incarnation": (int,),
    "ordered_s": (float, int),
    "bundle_version": (int,),
    "repeatable": (bool,),
    "budget_s": (float, int),
    "method": (str,),
    "target": (str,),
}


class AttemptOrder(Record):
    """
    What an entry asks an agent to run.

    Parameters
    ----------
    attempt : str
        Number of the attempt, unique for each dispatch.
    entry : str
        Name of the entry that gives the order.
    incarnation : int
        Life of the agent that the entry means; another one refuses.
    ordered_s : float
        Wall-clock time at which the entry made the order, in seconds.
    bundle_version : int
        Version in force at the entry.
    repeatable : bool
        Whether the work may be cancelled and done again elsewhere.
    budget_s : float
        Seconds left until the caller's deadline.
    method, target : str
    headers : tuple of (str, str)
    body : bytes
        The request for the backend server.
    """

    __slots__ = (
        "attempt",
        "entry",
        "incarnation",
        "ordered_s",
        "bundle_version",
        "repeatable",
        "budget_s",
        "method",
        "target",
        "headers",
        "body",
    )

    def __init__(
        self,
        attempt,
        entry,
        incarnation,
        ordered_s,
        bundle_version,
        repeatable,
        budget_s,
        method,
        target,
        headers,
        body,
    ):
        self.attempt = attempt
        self.entry = entry
        self.incarnation = incarnation
        self.ordered_s = ordered_s
        self.bundle_version = bundle_version
        self.repeatable = repeatable
        self.budget_s = budget_s
        self.method = method
        self.target = target
        self.headers = tuple(tuple(pair) for pair in headers)
        self.body = body

    def to_json(self):
        """Give the fields as a JSON object, the body in base64."""
        body = self.as_dict()
        body["body"] = b64encode(self.body).decode()
        return body

    @classmethod
    def from_json(cls, payload):
        """
        Read a JSON object.

        Raises
        ------
        OrderError
            If a field is missing or malformed. One that this release doesn't know
            is left out, as entries of a newer one may be about.
        """
        try:
            fields = {name: payload[name] for name in cls.__slots__}
            fields["body"] = b64decode(fields["body"], validate=True)
            if fields.get("budget_s", 0) is None:
                # JSON has no infinity: a patience without end arrives as null.
                fields["budget_s"] = inf
            order = cls(**fields)
        except (KeyError, TypeError, ValueError) as exc:
            raise OrderError(f"no order for an attempt: {exc!r}") from exc
        order.check()
        return order

    def check(self):
        """
        Check types and ranges.

        Raises
        ------
        OrderError
            Naming the field. An order is run apart from the connection that
            brought it: what fails there ends the agent.
        """
        for name, kind in _KINDS.items():
            value = getattr(self, name)
            if type(value) not in kind:
                shown = repr(value)[:_SHOWN_CHARACTERS]
                raise OrderError(f"{name} is {shown}, expected {kind[0].__name__}")
        if not self.attempt or not self.budget_s >= 0 or not isfinite(self.ordered_s):
            raise OrderError("attempt is empty, or a time is out of range")
        if self.bundle_version < 0:
            raise OrderError(f"bundle_version is {self.bundle_version}")
        for pair in self.headers:
            if len(pair) != 2 or not all(isinstance(text, str) for text in pair):
                raise OrderError("headers holds other things than pairs of texts")

    def request(self):
        """Build the request for the backend server."""
        return Request(self.method, self.target, self.headers, self.body)


class Attempt:
    """
    An attempt in the agent's memory.

    Parameters
    ----------
    order : AttemptOrder
    started_s : float
        Monotonic time, in seconds.

    Attributes
    ----------
    log : FrameLog
        All that has been answered.
    scope : trio.CancelScope
        Cancels the work at the backend server.
    claimed_s : float
        When the entry last showed that it still waits, in seconds.
    ended_s : float or None
        Monotonic time of its end, in seconds.
    was_read : bool
        Whether a reader has been sent the end of the log.
    """

    __slots__ = (
        "claimed_s",
        "ended_s",
        "log",
        "order",
        "scope",
        "started_s",
        "was_read",
        "_changed",
    )

    def __init__(self, order, started_s):
        self.order = order
        self.started_s = started_s
        self.claimed_s = started_s
        self.ended_s = None
        self.was_read = False
        self.log = FrameLog(order.attempt)
        self.scope = CancelScope()
        self._changed = Event()

    def notify(self):
        """Wake the readers: the log has grown."""
        self._changed.set()
        self._changed = Event()

    async def changed(self):
        """Wait until the log has grown."""
        await self._changed.wait()
