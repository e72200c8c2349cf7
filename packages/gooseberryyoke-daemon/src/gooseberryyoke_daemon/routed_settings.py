"""Settings of processes that serve by a route table."""

from math import inf

from gooseberryyoke.record import Record

__all__ = [
    "COLD_OVERAGE",
    "COLD_SLACK",
    "ControlSettings",
    "GatewaySettings",
    "HELD_BYTES",
    "HELD_BYTES_PER_CONNECTION",
    "NodeSettings",
    "RankSettings",
]

COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
"""Requests. Both as the users' deployments set them."""
HELD_BYTES = 30 * 1024 * 1024
"""A body is held up to three times over while it is passed on, which leaves a process
of 152 MB half of its memory for itself."""
HELD_BYTES_PER_CONNECTION = 256 * 1024
_CONTENDED_FROM = inf
"""Gateways. Off unless set: the decisions and the news of who waits take processor time
that grows with the gateways, and small ones have none to spare."""


class NodeSettings(Record):
    """
    What every role needs.

    Parameters
    ----------
    name, data_centre : str
    internal : Address
        Where the other processes reach this one.
    contacts : tuple of str
        Internal addresses of some control processes.
    founding : bool
        The whole deployment starts for the first time. ``contacts`` then names the
        same processes everywhere, which vote on the founders.
    seats : int
        Of the durable state; as many as ``contacts`` if 0. Read only until the
        deployment is founded; a majority of them must be left after the greatest
        loss that it has to bear.
    """

    __slots__ = ("name", "data_centre", "internal", "contacts", "founding", "seats")

    def __init__(self, name, data_centre, internal, contacts, founding=False, seats=0):
        self.name = name
        self.data_centre = data_centre
        self.internal = internal
        self.contacts = tuple(contacts)
        self.founding = founding
        self.seats = seats


class GatewaySettings(Record):
    """
    What a gateway needs.

    Parameters
    ----------
    node : NodeSettings
    callers : Address
        Where callers connect.
    retry_limit : RetryLimit
        Of the retries at each service, over all gateways.
    contended_from : int
        Gateways from which on all services are managed for contention, and take turns
        at free places; infinite for none.
    cold_overage, cold_slack : float
        Bounds on what cold servers get; see `ColdRate`.
    held_bytes, held_bytes_per_connection : float
        Bounds on the bodies that are held in all, and on what of one answer is read
        ahead of its caller; see `HeldBytes`.
    """

    __slots__ = (
        "node",
        "callers",
        "retry_limit",
        "contended_from",
        "cold_overage",
        "cold_slack",
        "held_bytes",
        "held_bytes_per_connection",
    )

    def __init__(
        self,
        node,
        callers,
        retry_limit,
        contended_from=_CONTENDED_FROM,
        cold_overage=COLD_OVERAGE,
        cold_slack=COLD_SLACK,
        held_bytes=HELD_BYTES,
        held_bytes_per_connection=HELD_BYTES_PER_CONNECTION,
    ):
        self.held_bytes = held_bytes
        self.held_bytes_per_connection = held_bytes_per_connection
        self.cold_overage = cold_overage
        self.cold_slack = cold_slack
        self.contended_from = contended_from
        self.node = node
        self.callers = callers
        self.retry_limit = retry_limit


class ControlSettings(Record):
    """
    What a control process needs.

    Parameters
    ----------
    node : NodeSettings
    data_folder : str
    data_centres : tuple of str
        Of the deployment, as far as its operators name them.
    """

    __slots__ = ("node", "data_folder", "data_centres")

    def __init__(self, node, data_folder, data_centres=()):
        self.node = node
        self.data_centres = tuple(data_centres)
        self.data_folder = data_folder


class RankSettings(Record):
    """
    What a process beside a rank's engine needs.

    Parameters
    ----------
    node : NodeSettings
    engine : Address
        Of the engine beside it.
    """

    __slots__ = ("node", "engine")

    def __init__(self, node, engine):
        self.node = node
        self.engine = engine
