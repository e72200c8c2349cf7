"""Filter: attempts at servers until one answers, and the way of the answer back."""

from functools import partial

import trio
from returns.result import Failure, Success

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.routing import RouteKind
from gooseberryyoke.stream.events import is_event_stream
from gooseberryyoke_daemon.gateway.call import CallFailed
from gooseberryyoke_daemon.gateway.evacuated import refuse_evacuated
from gooseberryyoke_daemon.gateway.lateness import late_by
from gooseberryyoke_daemon.gateway.stream import StreamRelay
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import Response

__all__ = ["Relay"]

_OK = 200
_INTERNAL_ERROR = 500
_PLAIN_ENCODINGS = ("", "identity")
_NO_SERVER_RETRY_S = 0.5
_REFUSALS = ("server-refused", "server-failed")
_BLAMELESS = ("server-error", "not-continued", "end-not-told")
"""Failures of an attempt that don't tell of the server's health."""
_REROUTES = 3
"""Attempts that never reached a server, for one request: connections refused by
servers that have just ended. More of them mean that the list of servers is stale."""
_IDEMPOTENT_SHARE = 0.5
"""Part of the time left that a first attempt may take, if a second one may follow."""


class Relay:
    """
    Has a request answered by one of its service's servers.

    Parameters
    ----------
    servers : Servers
    calls : ServerCalls
    retries : Retries
    observer : GatewayObserver
    admit : Admit
        Where a request waits again that a server has turned away.
    read_ahead : ReadAhead
        Reads on for callers that read slowly.
    quarantine : Quarantine
        Asked before each attempt.
    awake : AwakeCheck, optional
        Asked before each choice of a server.
    """

    __slots__ = (
        "_admit",
        "_awake",
        "_servers",
        "_calls",
        "_retries",
        "_observer",
        "_quarantine",
        "_read_ahead",
    )

    def __init__(
        self,
        servers,
        calls,
        retries,
        observer,
        admit,
        read_ahead,
        quarantine,
        awake=None,
    ):
        self._awake = awake
        self._quarantine = quarantine
        self._read_ahead = read_ahead
        self._admit = admit
        self._observer = observer
        self._servers = servers
        self._calls = calls
        self._retries = retries

    async def __call__(self, exchange, proceed):
        """Make attempts; the last filter, so that nothing follows."""
        self._retries.note_request(exchange)
        exchange.verdict = Verdict.NOT_RUN
        unsent = 0
        while True:
            refusal = await self._clear_to_send(exchange)
            if refusal is not None:
                return Failure(refusal)
            if trio.current_time() >= exchange.deadline_s:
                self._quarantine.note_over(exchange)
                return Failure(self._out_of_time(exchange))
            server = self._choose(exchange)
            if server is None:
                self._quarantine.note_over(exchange)
                return Failure(self._no_server(exchange))
            try:
                return Success(await self._attempt(exchange, server))
            except CallFailed as exc:
                sent = exc.reason != "not-connected"
                unsent += not sent
                refusal = await self._after(exchange, server, exc, unsent)
            except BaseException:
                # The caller has left, or the gateway has no room for the answer.
                self.note_over(exchange)
                raise
            if refusal is not None:
                return Failure(refusal)

    async def _until_heard(self):
        if self._awake is not None:
            await self._awake.until_heard()

    async def _clear_to_send(self, exchange):
        may_isolate = partial(self._may_isolate, exchange)
        return await self._quarantine.clear_to_send(
            exchange, may_isolate, self._until_heard
        )

    def _may_isolate(self, exchange):
        on_trial = self._on_trial(exchange)
        if not on_trial:
            return True
        return self._choose_except(exchange, exchange.tried | on_trial) is not None

    def _on_trial(self, exchange):
        servers = self._servers.of_service(exchange.service)
        return {s.entry.id for s in servers if self._quarantine.is_on_trial(s)}

    def _choose(self, exchange):
        if exchange.is_on_trial or exchange.is_send_counted:
            apart = exchange.tried | self._on_trial(exchange)
            server = self._choose_except(exchange, apart)
            if server is not None or exchange.is_on_trial:
                return server
        return self._choose_except(exchange, exchange.tried)

    def _choose_except(self, exchange, ids):
        is_last = exchange.sends + 1 >= exchange.route.max_attempts
        return self._servers.choose(exchange.service, ids, is_last, exchange.assigned)

    async def _attempt(self, exchange, server):
        self._note_sent(exchange, server)
        call = await self._calls.open(exchange, server, self._until_s(exchange))
        try:
            return await self._answer(exchange, call)
        except BaseException:
            await call.close()
            raise

    def _note_sent(self, exchange, server):
        exchange.tried.add(server.entry.id)
        exchange.sends += 1
        exchange.sent_s = trio.current_time()
        self._quarantine.note_sent(exchange, server)

    def note_held(self, exchange):
        """See `Quarantine.note_held`."""
        self._quarantine.note_held(exchange)

    def note_over(self, exchange):
        """See `Quarantine.note_over`."""
        self._quarantine.note_over(exchange)

    def _until_s(self, exchange):
        """Give a first attempt a part of the time if another may follow."""
        route, now = exchange.route, trio.current_time()
        may_follow = route.may_repeat and exchange.sends < route.max_attempts
        if route.kind is RouteKind.IDEMPOTENT and may_follow:
            return now + (exchange.deadline_s - now) * _IDEMPOTENT_SHARE
        return exchange.deadline_s

    async def _answer(self, exchange, call):
        head, until_close = call.head, not call.framing.tells_end
        if _is_stream(exchange, call):
            relay = StreamRelay(self, exchange, call, self._read_ahead)
            await relay.start()
            return Response(head.status, head.headers, relay, until_close)
        # Before the body, which is not needed then and might have no end.
        if head.status >= _INTERNAL_ERROR and self._may_ask_another(exchange):
            detail = f"status {head.status}"
            raise CallFailed(Verdict.MAY_HAVE_RUN, "server-error", detail)
        with self._read_ahead.held.open() as holding:
            body = await call.read(self._until_s(exchange), holding)
        call.server.health.succeeded()
        if head.status == _OK:
            self.note_held(exchange)
        else:
            # A server that turns a prompt down need not have worked on its parts.
            self.note_over(exchange)
        self.note_answered(exchange, call)
        await call.close()
        return Response(head.status, head.headers, body, until_close)

    def note_answered(self, exchange, call):
        """
        Log how a request came to its whole answer.

        Parameters
        ----------
        exchange : Exchange
        call : Call
            That brought the end of the answer.
        """
        if call.head.status == _OK:
            self._quarantine.note_answered(exchange)
        now = trio.current_time()
        cause = late_by(exchange, call.sent_s, call.first_s)
        cause = None if cause is None else cause.value
        self._observer.answered(exchange, call.first_s, call.sent_s, now, cause)
        if not call.framing.tells_end:
            self._observer.end_not_told(exchange.service)
        log_event(
            "request-answered",
            request=exchange.number,
            route=exchange.route.name,
            status=call.head.status,
            server=call.server.entry.id,
            load=round(call.load, 1),
            attempts=exchange.sends,
            late=exchange.is_late,
            late_by=cause,
            sent_ms=round((call.sent_s - exchange.received_s) * 1000),
            first_ms=None if call.first_s is None else round(call.first_s * 1000),
            longest_gap_ms=round(exchange.longest_gap_s * 1000),
            total_ms=round((now - exchange.received_s) * 1000),
            framing=call.framing.value,
            events=exchange.events,
            last_event=exchange.last_event_id,
            table=exchange.table.version,
        )

    def _may_ask_another(self, exchange):
        route = exchange.route
        if not route.may_repeat or exchange.sends >= route.max_attempts:
            return False
        if self._choose(exchange) is None:
            return False
        return self._retries.has_retry(exchange, "server-error")

    async def resume(self, exchange, last_event_id):
        """
        Go on with a broken stream at another server.

        Parameters
        ----------
        exchange : Exchange
        last_event_id : str or None
            Of the last whole event that was passed on.

        Returns
        -------
        Call or None
            None if that may not be, or failed.
        """
        while True:
            if await self._clear_to_send(exchange) is not None:
                return None
            server = self._choose(exchange)
            if server is None or not self._retries.may_try_again(exchange):
                self._quarantine.note_over(exchange)
                return None
            try:
                return await self._continue_at(exchange, server, last_event_id)
            except CallFailed as exc:
                await self.attempt_failed(exchange, server, exc)

    async def _continue_at(self, exchange, server, last_event_id):
        self._note_sent(exchange, server)
        log_event(
            "stream-resumed",
            request=exchange.number,
            server=server.entry.id,
            after_event=last_event_id,
        )
        call = await self._calls.open(
            exchange, server, exchange.deadline_s, last_event_id
        )
        if _is_stream(exchange, call):
            return call
        await call.close()
        status, kind = call.head.status, call.header("content-type")
        detail = f"status {status}, type {kind}: does not go on with a stream"
        raise CallFailed(Verdict.MAY_HAVE_RUN, "not-continued", detail)

    async def _after(self, exchange, server, exc, unsent):
        """Decide what follows a failed attempt: None for another one."""
        await self.attempt_failed(exchange, server, exc)
        if exc.reason == "not-connected":
            exchange.sends -= 1
            if unsent <= _REROUTES and trio.current_time() < exchange.deadline_s:
                return None
        elif self._retries.may_try_again(exchange):
            if exchange.verdict is Verdict.NOT_RUN:
                return await self._admit.place_again(exchange)
            return None
        return self._give_up(exchange, exc)

    async def attempt_failed(self, exchange, server, exc, has_held=False):
        """
        Note that a server failed an attempt, and find out whether it has ended.

        Parameters
        ----------
        exchange : Exchange
        server : Server
        exc : CallFailed
        has_held : bool
            Its answer had given events for a while.
        """
        self._note_broken(exchange, server, exc)
        await self._quarantine.note_failed(exchange, server, exc, has_held)

    async def check_ended(self, exchange, server, exc):
        """
        Find out whether a server has ended that is not blamed for a failed attempt.

        Parameters
        ----------
        exchange : Exchange
        server : Server
        exc : CallFailed
        """
        await self._quarantine.note_failed(exchange, server, exc, has_held=True)

    def _note_broken(self, exchange, server, exc):
        exchange.verdict = exchange.verdict.then(exc.verdict)
        exchange.last_failure = exc.reason
        now = trio.current_time()
        if exc.reason in _REFUSALS and server.backoff.is_on(now):
            self._observer.server_backoff(exchange.service)
        if exc.reason == "server-refused":
            self._servers.note_refusal(server)
        elif exc.reason == "answer-stalled":
            if server.group_health is None:
                server.health.failed(now)
        elif exc.reason not in _BLAMELESS:
            server.health.failed(now)
            server.latency.observe(now - exchange.received_s, now)
        log_event(
            "attempt-failed",
            level="warning",
            request=exchange.number,
            server=server.entry.id,
            reason=exc.reason,
            detail=exc.detail,
            verdict=exc.verdict.value,
            events=exchange.events,
            parts=",".join(exchange.parts),
            fingerprint=exchange.fingerprint,
            sent_ms=round((exchange.sent_s - exchange.received_s) * 1000),
            after_ms=round((now - exchange.received_s) * 1000),
        )

    def _give_up(self, exchange, exc):
        if exchange.verdict is Verdict.NOT_RUN:
            detail = f"{exchange.sends} servers asked: {exc.reason}"
            retry_s = self._admit.return_after_s(exchange)
            return Refusal(Verdict.NOT_RUN, 503, "no-room", detail, retry_s)
        is_late = trio.current_time() >= exchange.deadline_s
        status = 504 if is_late else 502
        return Refusal(exchange.verdict, status, exc.reason, exc.detail)

    def _out_of_time(self, exchange):
        detail = "the time for the answer is over"
        status = 503 if exchange.verdict is Verdict.NOT_RUN else 504
        return Refusal(exchange.verdict, status, "out-of-time", detail)

    def _no_server(self, exchange):
        detail = f"no server of {exchange.service} left to ask"
        if exchange.verdict is Verdict.NOT_RUN:
            if self._servers.is_evacuated(exchange.service):
                return refuse_evacuated(exchange.service, self._servers.evacuation)
            retry_s = _NO_SERVER_RETRY_S
            if self._servers.is_known(exchange.service):
                retry_s = self._admit.return_after_s(exchange)
            return Refusal(Verdict.NOT_RUN, 503, "no-server", detail, retry_s)
        return Refusal(exchange.verdict, 502, "no-server", detail)


def _is_stream(exchange, call):
    if call.head.status != _OK or exchange.request.method == "HEAD":
        return False
    if _is_encoded(call):
        # Its bytes are no events, and a part of them can't be gone on with.
        return False
    kind = call.header("content-type")
    if kind is None:
        # Taken for a plain answer, half an event would pass as the end.
        is_expected = exchange.route.kind is RouteKind.STREAMING
        return is_expected and not call.framing.tells_end
    return is_event_stream(kind)


def _is_encoded(call):
    encoding = call.header("content-encoding")
    return encoding is not None and encoding.strip().lower() not in _PLAIN_ENCODINGS
