"""The gateway: from a caller's request to its final answer."""

from math import ceil

import trio
from returns.result import Failure

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke_daemon.gateway.admit import Admit
from gooseberryyoke_daemon.gateway.call import ServerCalls
from gooseberryyoke_daemon.gateway.evacuated import EvacuationWatch
from gooseberryyoke_daemon.gateway.exchange import Exchange
from gooseberryyoke_daemon.gateway.identify import Identify
from gooseberryyoke_daemon.gateway.observer import GatewayObserver
from gooseberryyoke_daemon.gateway.quarantine import Quarantine
from gooseberryyoke_daemon.gateway.read_ahead import ReadAhead
from gooseberryyoke_daemon.gateway.relay import Relay
from gooseberryyoke_daemon.gateway.retries import Retries
from gooseberryyoke_daemon.gateway.stopping import Stopping
from gooseberryyoke_daemon.gateway.warm_up import WarmUp
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.pipeline import Pipeline
from gooseberryyoke_daemon.wire import HttpServer, Limits, problem_response

__all__ = ["GatewayNode", "GatewayStop"]

_IDLE_MARGIN = 2.0
"""Idle connections stay open for this many times what callers count on, so that no
request crosses the closing of its connection."""
_GRACE_S = 1.0
_MOST_HEADERS = 4096
"""As many as a head of 16 KiB can have: callers are told of a limit in bytes only."""


class GatewayStop:
    """
    The times of a planned stop, in seconds from its beginning.

    Parameters
    ----------
    accept_s : float
        For which new connections are taken: callers that were told of this entry
        before the stop still come.
    end_s : float
        After which what is still in flight is given up.
    begin_s : float
        For which every request is begun; later ones only if they are due before the
        end. By default as long as connections are taken.
    """

    __slots__ = ("accept_s", "end_s", "begin_s")

    def __init__(self, accept_s, end_s, begin_s=None):
        self.accept_s = accept_s
        self.end_s = end_s
        self.begin_s = accept_s if begin_s is None else begin_s


class GatewayNode:
    """
    Serves callers by the route table in force.

    Parameters
    ----------
    watcher : TableWatcher
    servers : Servers
    client : HttpClient
        For servers; keeps no connections and leaves the host as it is.
    names : HeaderNames
    rng : random.Random
    budgets : ServiceRetryBudgets
    retry_digits : int
        See `problem_response`.
    awake : AwakeCheck, optional
        Without one, nothing is held after a stop of the process.
    held : HeldBytes, optional
        Bound on bodies that are held; without one there is none.

    Attributes
    ----------
    quarantine : Quarantine
    """

    def __init__(
        self,
        watcher,
        servers,
        client,
        names,
        rng,
        budgets,
        retry_digits=0,
        awake=None,
        held=None,
    ):
        self._retry_digits = retry_digits
        self._held = held or HeldBytes()
        self._read_ahead = ReadAhead(self._held)
        self._watcher = watcher
        self._servers = servers
        self._names = names
        self.observer = GatewayObserver()
        retries = Retries(budgets, self.observer)
        warm_up = WarmUp(trio.current_time())
        self._admit = Admit(servers, warm_up)
        servers.shared.observer = self.observer
        servers.peers.own_waiting = self._admit.waiting
        self._stopping = Stopping(self.observer.answer_times)
        self.quarantine = Quarantine(servers.name, client, self.observer)
        self._shown_evacuated = set()
        self._pipeline = Pipeline(
            [
                Identify(lambda: watcher.table, names, rng, warm_up),
                self._stopping,
                self.quarantine,
                self._admit,
                self._stopping.after_wait,
                Relay(
                    servers,
                    ServerCalls(client, names),
                    retries,
                    self.observer,
                    self._admit,
                    self._read_ahead,
                    self.quarantine,
                    awake,
                ),
            ]
        )
        limits = Limits(header_count=_MOST_HEADERS)
        self._server = HttpServer(self.handle, limits, self._held)
        self.is_leaving = False

    @property
    def is_open(self):
        """Whether new callers can be served."""
        return (
            not self.is_leaving
            and self._watcher.table is not None
            and self._servers.has_any()
        )

    @property
    def counts(self):
        """Events at the callers' connections by name, see `HttpServer`."""
        return self._server.counts

    async def run(self, listeners, task_status=trio.TASK_STATUS_IGNORED):
        """Serve callers until stopped."""
        async with trio.open_nursery() as nursery:
            self.quarantine.use_nursery(nursery)
            nursery.start_soon(self._admit.run)
            nursery.start_soon(self._servers.group_limits.run)
            nursery.start_soon(EvacuationWatch(self._servers).run)
            nursery.start_soon(self._read_ahead.run)
            await self._server.run(listeners, task_status=task_status)
            nursery.cancel_scope.cancel()

    def render_metrics(self):
        """
        Show the metrics of this gateway.

        Returns
        -------
        bytes or None
            In text; None before they are loaded.
        """
        metrics = self.observer.metrics
        if metrics is None:
            return None
        table = self._watcher.table
        metrics.set("bundle_version", 0 if table is None else table.version)
        if self._watcher.first_after_s is not None:
            metrics.set("start_to_table_seconds", self._watcher.first_after_s)
        metrics.set("requests_in_flight", self._server.exchanges)
        metrics.set("held_bytes", self._held.total)
        metrics.set("answers_read_ahead", self._read_ahead.count)
        metrics.set("memory_refusals", self._server.counts["refused-memory-full"])
        suspected, quarantined = self.quarantine.suspects.count(trio.current_time())
        metrics.set("prompt_parts_suspected", suspected)
        metrics.set("prompt_parts_quarantined", quarantined)
        metrics.set("requests_quarantined", self.quarantine.requests.count_refused())
        for service, count in self._servers.count_by_service().items():
            metrics.set("servers", count, service=service)
        for service, count in self._servers.count_in_backoff().items():
            metrics.set("servers_in_backoff", count, service=service)
        for service, count in self._servers.cold.count().items():
            metrics.set("servers_cold", count, service=service)
        for group, part in self._servers.limit_parts().items():
            metrics.set("group_limit_part", part, group=group)
        for group, limit in self._servers.group_limits.limits().items():
            metrics.set("group_limit", -1 if limit is None else limit, group=group)
        for (service, urgency), count in self._admit.count_waiting().items():
            metrics.set(
                "requests_waiting", count, service=service, urgency=str(urgency)
            )
        self._set_evacuated(metrics)
        return metrics.render()

    def _set_evacuated(self, metrics):
        evacuation = self._servers.evacuation
        metrics.set("evacuated_data_centres", len(evacuation.data_centres))
        metrics.set("evacuation_revision", evacuation.revision)
        running = self._servers.running_evacuated()
        self._shown_evacuated.update(running)
        # A series of one that is evacuated no more would keep its last value.
        for name in self._shown_evacuated:
            since_ms = evacuation.since_ms.get(name, 0)
            metrics.set(
                "evacuated_since_seconds", round(since_ms / 1000), data_centre=name
            )
            metrics.set("evacuated_requests", running.get(name, 0), data_centre=name)

    def use_limits(self, table):
        """
        Take the limits on callers of a table.

        Parameters
        ----------
        table : RouteTable
        """
        self.observer.answer_times.use_routes(route.name for route in table.routes)
        limits = table.limits
        self._server.limits.head_bytes = limits.head_bytes
        self._server.limits.body_bytes = limits.body_bytes
        self._server.limits.slow_sender_s = limits.head_s
        self._server.limits.idle_s = limits.idle_s * _IDLE_MARGIN

    async def stop(self, times):
        """
        End without cutting work.

        Parameters
        ----------
        times : GatewayStop
        """
        start_s = trio.current_time()
        log_event("stop-began", in_flight=self._server.exchanges)
        self.is_leaving = True
        self._stopping.begin(times.begin_s, times.end_s)
        self._server.drain()
        await trio.sleep(times.accept_s)
        self._server.limits.grace_s = _GRACE_S
        self._server.stop_accepting()
        with trio.move_on_at(start_s + times.end_s):
            await trio.sleep(_GRACE_S)
            await self._server.finish_exchanges()
        log_event("stop-ended", in_flight=self._server.exchanges)

    async def handle(self, request):
        """
        Answer one request of a caller.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response
        """
        number = request.header(self._names.attempt_id, "")
        prompt = request.header(self._names.prompt_parts)
        exchange = Exchange(request, number, trio.current_time(), prompt)
        result = await self._pipeline(exchange)
        if not isinstance(result, Failure):
            return result.unwrap()
        refusal = result.failure()
        self.observer.refused(exchange, refusal)
        log_event(
            "request-refused",
            request=number,
            status=refusal.status,
            reason=refusal.reason,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            service=exchange.service,
            again=exchange.tried_for_s > 0,
            urgency=exchange.urgency,
            ahead=exchange.ahead,
            ahead_by_urgency=exchange.ahead_by_urgency,
            limit_parts=self._servers.limit_parts_of(exchange.service),
            table=None if exchange.table is None else exchange.table.version,
            after_ms=ceil((trio.current_time() - exchange.received_s) * 1000),
        )
        echo = [(self._names.attempt_id, number)] if number else []
        return problem_response(refusal, echo, self._retry_digits)
