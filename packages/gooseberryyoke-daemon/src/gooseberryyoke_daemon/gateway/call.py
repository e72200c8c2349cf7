"""One attempt of a request at one server."""

from contextlib import AsyncExitStack
from math import floor

import trio

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.record import Record
from gooseberryyoke.routing import RouteKind
from gooseberryyoke_daemon.gateway.headers import end_to_end, without
from gooseberryyoke_daemon.server_report import read_report
from gooseberryyoke_daemon.wire import Request, WireError

__all__ = ["Call", "CallFailed", "ServerCalls", "server_priority"]

_OK = 200
_STATUSES_OF_A_CLASS = 100
_MISDIRECTED = 421
_ON_TIME_LEVELS = ((0, 0), (9, 1), (10, 2), (11, 3), (19, 4))
_LATE_LEVELS = ((9, 6), (11, 7), (19, 8))
"""Servers know ten levels: for urgencies up to the first figure, the second one."""
_LAST_ON_TIME = 5
_LAST_LEVEL = 9
_OWN_REFUSALS = (429, 503)
_BAD_REQUEST = 400


class CallFailed(Exception):
    """
    An attempt that brought no answer to pass on.

    Parameters
    ----------
    verdict : Verdict
        Whether the server may have run the request.
    reason : str
        Short code in kebab case.
    detail : str
    """

    def __init__(self, verdict, reason, detail):
        super().__init__(f"{reason}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class Head(Record):
    """Status and headers of a server's answer."""

    __slots__ = ("status", "headers")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers


class Call:
    """
    An attempt whose answer has begun.

    Attributes
    ----------
    server : Server
    head : Head
    framing : Framing
        How the end of the answer is told.
    sent_s : float
        On trio's clock.
    first_s : float or None
        From sending to the first of the body.
    load : float
        Requests that the server was thought to have, this one left out.
    """

    __slots__ = (
        "server",
        "head",
        "framing",
        "sent_s",
        "first_s",
        "load",
        "_group_health",
        "_stack",
        "_reply",
        "_chunks",
    )

    def __init__(self, server, stack, reply, sent_s, load, group_health=None):
        self._group_health = group_health
        self.sent_s = sent_s
        self.first_s = None
        self.load = load
        self.server = server
        self.head = Head(reply.status, end_to_end(reply.headers))
        self.framing = reply.framing
        self._stack = stack
        self._reply = reply
        self._chunks = reply.chunks()

    def header(self, name):
        """Give the value of a header of the answer, or None."""
        return self._reply.header(name)

    async def next_chunk(self, timeout_s):
        """
        Wait for more of the body.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bytes or None
            None at the end of the body.

        Raises
        ------
        CallFailed
        """
        with trio.move_on_after(max(0.0, timeout_s)):
            try:
                chunk = await anext(self._chunks, None)
                self._note_begun()
                if self._group_health is not None:
                    self._group_health.event_received(trio.current_time())
                return chunk
            except WireError as exc:
                detail = str(exc)
                raise CallFailed(Verdict.MAY_HAVE_RUN, "answer-cut", detail) from exc
        detail = f"no more of the answer within {timeout_s:.2f} s"
        raise CallFailed(Verdict.MAY_HAVE_RUN, "answer-stalled", detail)

    def _note_begun(self):
        if self.first_s is None:
            now = trio.current_time()
            self.first_s = now - self.sent_s
            self.server.latency.observe(self.first_s, now)

    def note_gap(self, gap_s, target_s):
        """
        Note the time between two events.

        Parameters
        ----------
        gap_s : float
        target_s : float or None
            What callers bear; None if the route doesn't tell.
        """
        if self._group_health is not None:
            self._group_health.observe_gap(gap_s, target_s, trio.current_time())

    async def read(self, deadline_s, holding):
        """
        Read the whole body.

        Parameters
        ----------
        deadline_s : float
            On trio's clock.
        holding : Holding
            Counts what is read.

        Returns
        -------
        bytes

        Raises
        ------
        CallFailed
        """
        body = bytearray()
        while chunk := await self.next_chunk(deadline_s - trio.current_time()):
            if not holding.may_grow(len(chunk)):
                detail = f"no end within {len(body) + len(chunk)} bytes"
                raise CallFailed(Verdict.MAY_HAVE_RUN, "answer-too-long", detail)
            holding.acquire(len(chunk))
            body += chunk
        return bytes(body)

    async def close(self):
        """End the attempt; a server that still works on it stops."""
        _end(self.server, self._group_health, self.sent_s)
        with trio.CancelScope(shield=True):
            await self._chunks.aclose()
            await self._stack.aclose()


def _end(server, group_health, sent_s):
    server.note_ended()
    server.backoff.ended(sent_s)
    if group_health is not None:
        group_health.ended(trio.current_time())


def server_priority(exchange, last_event_id):
    """
    Tell a server's queue what to admit first: those who can still be on time.

    A stream that broke has paused for too long to be on time. When a group breaks,
    some fifty of them come to the other one at once; put first, they made every
    fresh request late for seconds.
    """
    is_late = exchange.is_late or last_event_id is not None
    levels = _LATE_LEVELS if is_late else _ON_TIME_LEVELS
    last = _LAST_LEVEL if is_late else _LAST_ON_TIME
    fits = (level for most, level in levels if exchange.urgency <= most)
    return next(fits, last)


class ServerCalls:
    """
    Sends requests to servers.

    Parameters
    ----------
    client : HttpClient
        Keeps no connections. A server may send a second answer after a whole one;
        on a kept connection it would come where the next request's answer is
        expected. A connection for each attempt rules that out; it costs a
        round trip.
    names : HeaderNames
    """

    __slots__ = ("_client", "_names")

    def __init__(self, client, names):
        self._client = client
        self._names = names

    async def open(self, exchange, server, until_s, last_event_id=None):
        """
        Send a request and wait for the head of the answer.

        Parameters
        ----------
        exchange : Exchange
        server : Server
        until_s : float
            When to give up, on trio's clock.
        last_event_id : str, optional
            Where a stream goes on.

        Returns
        -------
        Call

        Raises
        ------
        CallFailed
        """
        now = trio.current_time()
        req = self._request(exchange, server, now, last_event_id)
        stack = AsyncExitStack()
        load = server.load.expected(now)
        # Only streams show by their events that a group goes on.
        group_health = server.group_health
        if group_health is not None and exchange.route.kind is not RouteKind.STREAMING:
            group_health = None
        server.note_began()
        server.limit.sent(now)
        server.backoff.sent(now)
        if group_health is not None:
            group_health.sent(now)
        try:
            left_s = max(0.0, until_s - now)
            opened = self._client.open(server.address, req, left_s, fresh=True)
            reply = await stack.enter_async_context(opened)
        except WireError as exc:
            _end(server, group_health, now)
            reason = "no-answer"
            if exc.verdict is Verdict.NOT_RUN:
                reason = "not-connected"
            raise CallFailed(exc.verdict, reason, str(exc)) from exc
        except BaseException:
            _end(server, group_health, now)
            raise
        call = Call(server, stack, reply, now, load, group_health)
        try:
            self._check(exchange, server, call)
        except CallFailed:
            await call.close()
            raise
        return call

    def _request(self, exchange, server, now, last_event_id):
        names, req = self._names, exchange.request
        headers = without(
            end_to_end(req.headers),
            "authorization",
            names.account,
            names.expected_server,
            names.deadline_ms,
            names.priority,
        )
        headers.append((names.priority, str(server_priority(exchange, last_event_id))))
        left_ms = max(1, floor((exchange.deadline_s - now) * 1000))
        headers.append((names.deadline_ms, str(left_ms)))
        headers.append((names.expected_server, server.entry.id))
        if exchange.account is not None:
            headers.append((names.account, exchange.account.name))
        if last_event_id is not None:
            headers = without(headers, "last-event-id")
            headers.append(("last-event-id", last_event_id))
        return Request(req.method, req.target, headers, req.body)

    def _check(self, exchange, server, call):
        status = call.head.status
        if status != _MISDIRECTED:
            # Else it is another server's word, which has this one's address now.
            self._hear(exchange, server, call)
        echoed = call.header(self._names.attempt_id)
        if echoed is not None and echoed != exchange.number:
            # Another request's answer must not reach this caller.
            detail = f"answer to {echoed}, expected one to {exchange.number}"
            raise CallFailed(Verdict.MAY_HAVE_RUN, "crossed-answer", detail)
        if call.header(self._names.not_run) is not None and status >= _BAD_REQUEST:
            raise CallFailed(Verdict.NOT_RUN, "server-refused", f"status {status}")
        if status == _MISDIRECTED:
            raise CallFailed(Verdict.NOT_RUN, "other-server", f"status {status}")
        if status in _OWN_REFUSALS:
            # Towards callers these promise that nothing has run, which this server
            # has not said.
            detail = f"status {status} without a promise"
            raise CallFailed(Verdict.MAY_HAVE_RUN, "server-failed", detail)
        if self._is_unsigned_success(call):
            detail = f"status {status} without a signature"
            raise CallFailed(Verdict.MAY_HAVE_RUN, "unsigned-answer", detail)

    def _is_unsigned_success(self, call):
        is_success = _OK <= call.head.status < _OK + _STATUSES_OF_A_CLASS
        is_signed = call.header(self._names.signature) is not None
        return self._names.requires_signature and is_success and not is_signed

    def _hear(self, exchange, server, call):
        report = read_report(call.head.status, call.head.headers, self._names)
        server.hear(report, exchange.number, call.sent_s)
        is_refused = (
            call.head.status >= _BAD_REQUEST
            and call.header(self._names.not_run) is not None
        )
        server.note_found(report.load, is_refused, exchange.number)
