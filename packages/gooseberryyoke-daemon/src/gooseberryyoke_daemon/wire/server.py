"""The HTTP server: accepts, limits, drains."""

from collections import Counter

import trio

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire.limits import Limits
from gooseberryyoke_daemon.wire.serving import ServerConnection, refuse_connection

__all__ = ["HttpServer"]

_LOOK_S = 0.02
"""Between two looks whether the last exchange has ended, at a planned stop."""
_MEMORY_LOG_S = 1.0
"""Between two lines on requests that were refused for want of memory."""


class HttpServer:
    """
    Serves a handler at any number of listeners.

    Parameters
    ----------
    handler : async callable
        Takes a `Request`, returns a `Response`; cancelled if the peer goes away.
    limits : Limits, optional
        On what is read and kept.
    held : HeldBytes, optional
        Counts the bodies of requests and answers; without one they are not bounded
        together.

    Attributes
    ----------
    open_connections : int
        Connections that are served now.
    exchanges : int
        Requests that are with the handler now, answers being sent included.
    receiving : int
        Requests that have begun to come and are not whole.
    counts : collections.Counter
        Events since the start by name: ``accepted``, ``requests``,
        ``peer-gone``, ``body-cut``, ``handler-failed``, ``slow-reader``, and
        ``refused-`` with the reason.
    """

    def __init__(self, handler, limits=None, held=None):
        self.handler = handler
        self.limits = limits or Limits()
        self.held = held or HeldBytes()
        self.open_connections = 0
        self.exchanges = self.receiving = 0
        self.counts = Counter()
        self.is_draining = False
        self._refused_now = 0
        self._memory_told_s = float("-inf")
        self._accepting = trio.CancelScope()
        self._idle_scopes = set()
        self._grace_ends_s = float("inf")

    async def run(self, listeners, *, task_status=trio.TASK_STATUS_IGNORED):
        """
        Serve until `stop_accepting`, then until the last connection has ended.

        Parameters
        ----------
        listeners : list of trio.abc.Listener
            Closed at the end.
        task_status : trio.TaskStatus
            Told when the listeners are served.
        """
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                    task_status=task_status,
                )

    def drain(self):
        """
        Close each connection after its next exchange; go on accepting.

        Each answer from now on carries ``Connection: close``. Idle connections
        stay open, since a request may be on its way on any of them.
        """
        self.is_draining = True

    def stop_accepting(self):
        """
        Close the listeners; idle connections follow after a grace.

        An idle connection that brings no request within ``grace_s`` is sent 408
        with the verdict not-run, so that a request that crosses the closing
        learns that it did not run.
        """
        self.drain()
        self._accepting.cancel()
        self._grace_ends_s = trio.current_time() + self.limits.grace_s
        for scope in self._idle_scopes:
            scope.deadline = min(scope.deadline, self._grace_ends_s)

    async def finish_exchanges(self):
        """
        Wait until no request is being received or handled, and no answer sent.

        A caller that is cut while it sends can't tell whether its request has run.
        """
        while self.exchanges or self.receiving:
            await trio.sleep(_LOOK_S)

    def note_memory_full(self):
        """Log that requests are refused since too many bytes are held."""
        now = trio.current_time()
        if now - self._memory_told_s >= _MEMORY_LOG_S:
            self._memory_told_s = now
            log_event(
                "memory-full",
                level="warning",
                held=self.held.total,
                most=self.held.limit,
                exchanges=self.exchanges,
                refused=self.counts["refused-memory-full"],
            )

    def idle_deadline_s(self):
        """
        Tell until when a connection may wait for a request from now on.

        Returns
        -------
        float
            On trio's clock, in seconds.
        """
        deadline_s = trio.current_time() + self.limits.idle_s
        return min(deadline_s, self._grace_ends_s)

    def watch_idle(self, scope):
        """
        Shorten the scope when the server stops accepting.

        Parameters
        ----------
        scope : trio.CancelScope
            Of a waiting connection.
        """
        self._idle_scopes.add(scope)

    def forget_idle(self, scope):
        """
        End `watch_idle`.

        Parameters
        ----------
        scope : trio.CancelScope
            Of a connection that waits no longer.
        """
        self._idle_scopes.discard(scope)

    async def _serve(self, stream):
        self.counts["accepted"] += 1
        if self.open_connections >= self.limits.connections:
            await self._refuse(stream)
            return
        self.open_connections += 1
        try:
            await ServerConnection(self, stream).serve()
        finally:
            self.open_connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _refuse(self, stream):
        self.counts["refused-connections"] += 1
        if self._refused_now >= self.limits.refused_connections:
            await trio.aclose_forcefully(stream)
            return
        self._refused_now += 1
        try:
            await refuse_connection(stream, self.limits)
        finally:
            self._refused_now -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
