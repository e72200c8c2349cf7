"""Limits on everything that is read from outside."""

from gooseberryyoke.record import Record

__all__ = ["Limits"]


class Limits(Record):
    """
    What one process takes from its peers.

    Parameters
    ----------
    head_bytes : int
        Request line and headers together; beyond it 431.
    header_count : int
        Headers of one message; beyond it 431.
    body_bytes : int
        Body of one request, or of a reply read whole; beyond it 413.
    slow_sender_s : float
        From the first byte of a request to its last; beyond it 408.
    slow_reader_s : float
        For which a peer may take no byte of its answer; then the connection is
        closed.
    connections : int
        Open connections; one more is answered with 503 and Retry-After.
    refused_connections : int
        Connections being told so at one time; one more is closed without answer.
    connection_retry_s : float
        Value of Retry-After when there are too many connections.
    idle_s : float
        For which a kept connection may wait for its next request.
    grace_s : float
        For which an idle connection may still bring a request, once the server
        has stopped accepting.
    pool_idle_s : float
        For which the client keeps an unused connection. Shorter than ``idle_s``,
        or requests cross the server's closing.
    pool_connections : int
        Unused connections that the client keeps for each address.
    """

    __slots__ = (
        "head_bytes",
        "header_count",
        "body_bytes",
        "slow_sender_s",
        "slow_reader_s",
        "connections",
        "refused_connections",
        "connection_retry_s",
        "idle_s",
        "grace_s",
        "pool_idle_s",
        "pool_connections",
    )

    def __init__(
        self,
        head_bytes=16 * 1024,
        header_count=64,
        body_bytes=4 * 1024 * 1024,
        slow_sender_s=10.0,
        slow_reader_s=30.0,
        connections=1024,
        refused_connections=64,
        connection_retry_s=1.0,
        idle_s=75.0,
        grace_s=1.0,
        pool_idle_s=30.0,
        pool_connections=16,
    ):
        self.head_bytes = head_bytes
        self.header_count = header_count
        self.body_bytes = body_bytes
        self.slow_sender_s = slow_sender_s
        self.slow_reader_s = slow_reader_s
        self.connections = connections
        self.refused_connections = refused_connections
        self.connection_retry_s = connection_retry_s
        self.idle_s = idle_s
        self.grace_s = grace_s
        self.pool_idle_s = pool_idle_s
        self.pool_connections = pool_connections
