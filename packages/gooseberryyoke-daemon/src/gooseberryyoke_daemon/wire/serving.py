"""One connection of the server, exchange by exchange."""

from contextlib import suppress
from math import inf

import h11
import trio
from loguru import logger

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS, Channel
from gooseberryyoke_daemon.wire.exceptions import BodyCut, RequestRefused
from gooseberryyoke_daemon.wire.message import problem_response
from gooseberryyoke_daemon.wire.network import has_tls, set_reset_on_close
from gooseberryyoke_daemon.wire.reading import read_request, refusal_of
from gooseberryyoke_daemon.wire.server_channel import ServerChannel

__all__ = ["ServerConnection", "refuse_connection"]

_LINGER_S = 1.0
_LINGER_BYTES = 256 * 1024
_DRAIN_S = 0.01
"""For reading what has come over TLS before the end of an answer is told."""
_BODYLESS = (204, 304)
_PIECE_BYTES = 64 * 1024
"""Of a long answer, written at once. A reader that takes one such piece within
`Limits.slow_reader_s` is not given up."""


def _encode(headers):
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


class ServerConnection:
    """
    Serves the exchanges of one connection in turn.

    Parameters
    ----------
    server : HttpServer
        Owner of handler, limits and counts.
    stream : trio.abc.Stream
        Closed by the owner.
    """

    __slots__ = (
        "_server",
        "_limits",
        "_channel",
        "_scope",
        "_late",
        "_gone",
        "_is_end_due",
    )

    def __init__(self, server, stream):
        self._server = server
        self._limits = server.limits
        self._channel = ServerChannel(stream, server.limits.head_bytes)
        # One scope for the connection, whose deadline moves from phase to phase:
        # a scope for each phase of each exchange costs more than the phase.
        self._scope = trio.CancelScope()
        self._late = None
        self._gone = False
        # A whole answer was sent whose end is that of the connection.
        self._is_end_due = False

    async def serve(self):
        """Serve until either end closes; failures of the peer end here."""
        refusal = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._channel.pump)
            with self._scope, suppress(*STREAM_ERRORS):
                refusal = await self._serve_exchanges()
            nursery.cancel_scope.cancel()
        if self._scope.cancelled_caught and not self._gone:
            refusal = self._late()
        if refusal is not None:
            self._server.counts[f"refused-{refusal.reason}"] += 1
            if refusal.reason == "memory-full":
                self._server.note_memory_full()
            with suppress(*STREAM_ERRORS):
                await _send_last(self._channel, refusal)
        elif self._is_end_due:
            with suppress(*STREAM_ERRORS):
                await self._end_answer()

    async def _serve_exchanges(self):
        try:
            while await self._serve_exchange():
                self._channel.conn.start_next_cycle()
        except RequestRefused as exc:
            return exc.refusal
        return None

    async def _serve_exchange(self):
        if not await self._wait_for_request():
            return False
        with self._server.held.open() as holding:
            req = await self._receive(holding)
            if req is None:
                return False
            self._server.counts["requests"] += 1
            self._server.exchanges += 1
            try:
                await self._answer(req)
            finally:
                self._server.exchanges -= 1
        conn = self._channel.conn
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        return done and not self._gone

    async def _receive(self, holding):
        self._set_deadline(self._limits.slow_sender_s, self._slow_sender)
        self._server.receiving += 1
        try:
            return await read_request(self._channel, self._limits, holding)
        finally:
            self._server.receiving -= 1

    async def _wait_for_request(self):
        self._late = _idle_connection
        self._scope.deadline = self._server.idle_deadline_s()
        self._server.watch_idle(self._scope)
        try:
            return await self._channel.wait_for_bytes()
        finally:
            self._server.forget_idle(self._scope)

    async def _answer(self, req):
        self._scope.deadline = inf
        self._channel.begin_answer(self._peer_gone)
        if self._channel.is_ended:
            self._peer_gone()
            return
        try:
            await self._respond(req)
        finally:
            self._channel.end_answer()

    def _set_deadline(self, seconds, late):
        self._scope.deadline = trio.current_time() + seconds
        self._late = late

    def _slow_sender(self):
        detail = f"request not whole within {self._limits.slow_sender_s:g} s"
        return refusal_of(408, "slow-sender", detail)

    def _slow_reader(self):
        self._server.counts["slow-reader"] += 1

    def _peer_gone(self):
        self._gone = True
        self._server.counts["peer-gone"] += 1
        self._scope.cancel()

    async def _respond(self, req):
        resp = await self._call_handler(req)
        try:
            await self._send(req, resp)
        except STREAM_ERRORS:
            self._gone = True
        except BodyCut:
            self._server.counts["body-cut"] += 1
            self._gone = True
        except Exception as exc:
            self._note_failure(req, exc)
            self._gone = True

    async def _call_handler(self, req):
        try:
            return await self._server.handler(req)
        except Exception as exc:
            self._note_failure(req, exc)
            detail = f"{req.method} {req.path} failed within the server"
            return problem_response(
                Refusal(Verdict.MAY_HAVE_RUN, 500, "internal-error", detail)
            )

    def _note_failure(self, req, exc):
        self._server.counts["handler-failed"] += 1
        logger.opt(exception=exc).error("{} {} failed", req.method, req.path)

    async def _send(self, req, resp):
        headers = list(resp.headers)
        if self._server.is_draining:
            headers.append(("connection", "close"))
        whole = isinstance(resp.body, bytes)
        no_body = req.method == "HEAD" or resp.status in _BODYLESS
        if resp.until_close and not no_body:
            self._channel.send_no_chunks()
        elif whole and _is_length_known(req, resp):
            headers.append(("content-length", str(len(resp.body))))
        head = h11.Response(status_code=resp.status, headers=_encode(headers))
        has_length = whole and not resp.until_close
        if no_body or has_length or self._channel.sends_chunks:
            await self._send_body(head, resp, no_body)
            return
        # Until the body is whole, any end of the connection has to look like a cut.
        set_reset_on_close(self._channel.stream, True)
        await self._send_body(head, resp, no_body)
        # The end follows when nothing reads any more: that of TLS needs the reader.
        self._is_end_due = True

    async def _end_answer(self):
        stream = self._channel.stream
        if has_tls(stream):
            with trio.move_on_after(self._limits.slow_reader_s) as scope:
                await stream.wait_send_all_might_not_block()
            if scope.cancelled_caught:
                # The close resets, as the end of TLS can't be told any more.
                self._slow_reader()
                return
        set_reset_on_close(stream, False)
        with trio.move_on_after(_LINGER_S):
            if has_tls(stream):
                await _linger_with_tls(stream)
            else:
                await _linger(stream)

    async def _send_body(self, head, resp, no_body):
        if isinstance(resp.body, bytes):
            await self._send_whole(head, b"" if no_body else resp.body)
            return
        try:
            await self._send_events(head)
            if not no_body:
                await self._send_chunks(resp.body)
        finally:
            await _close_body(resp.body)
        await self._send_events(h11.EndOfMessage())

    async def _send_whole(self, head, body):
        with self._server.held.open() as holding:
            holding.acquire(len(body))
            events = [head]
            for start in range(0, len(body), _PIECE_BYTES):
                events.append(h11.Data(body[start : start + _PIECE_BYTES]))
                if len(body) > _PIECE_BYTES:
                    await self._send_events(*events)
                    events.clear()
            await self._send_events(*events, h11.EndOfMessage())

    async def _send_chunks(self, body):
        async for chunk in body:
            for start in range(0, len(chunk), _PIECE_BYTES):
                piece = chunk[start : start + _PIECE_BYTES]
                await self._send_events(h11.Data(piece))

    async def _send_events(self, *events):
        self._set_deadline(self._limits.slow_reader_s, self._slow_reader)
        await self._channel.send(*events)
        self._scope.deadline = inf


def _idle_connection():
    # A request may cross the closing. Without an answer its sender would have to
    # count it as perhaps run; nothing is read after this one, so it did not.
    return refusal_of(408, "idle-connection", "connection closed for being idle")


def _is_length_known(req, resp):
    # An empty body for HEAD doesn't tell how long that for GET is.
    return resp.status not in _BODYLESS and (resp.body or req.method != "HEAD")


async def _close_body(body):
    if hasattr(body, "aclose"):
        with trio.CancelScope(shield=True, deadline=trio.current_time() + _LINGER_S):
            await body.aclose()


async def _send_last(channel, refusal):
    """Send a refusal and wait a little, so that it isn't lost to a reset."""
    if channel.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    resp = problem_response(refusal)
    headers = [
        *resp.headers,
        ("content-length", str(len(resp.body))),
        ("connection", "close"),
    ]
    head = h11.Response(status_code=resp.status, headers=_encode(headers))
    with trio.move_on_after(_LINGER_S):
        await channel.send(head, h11.Data(resp.body), h11.EndOfMessage())
        await _linger(channel.stream)


async def _linger(stream):
    # Closing a socket with unread input resets the connection, and the peer may
    # lose the answer already sent; reading the rest for a while avoids it.
    if hasattr(stream, "send_eof"):
        await stream.send_eof()
    await _drop_input(stream)


async def _linger_with_tls(stream):
    """Send close_notify and read on for a while, as without TLS."""
    transport = stream.transport_stream
    try:
        # Nothing is sent while decrypted input is unread.
        with suppress(*STREAM_ERRORS), trio.move_on_after(_DRAIN_S):
            await _drop_input(stream)
        with suppress(*STREAM_ERRORS):
            await stream.unwrap()
        await _drop_input(transport)
    finally:
        await trio.aclose_forcefully(transport)


async def _drop_input(stream):
    left_bytes = _LINGER_BYTES
    while left_bytes > 0 and (data := await stream.receive_some(left_bytes)):
        left_bytes -= len(data)


async def refuse_connection(stream, limits):
    """
    Tell a peer that there are too many connections.

    Parameters
    ----------
    stream : trio.abc.Stream
        Closed by the caller.
    limits : Limits
        Of the server.
    """
    detail = f"{limits.connections} connections are open, the most served"
    refusal = refusal_of(503, "too-many-connections", detail, limits.connection_retry_s)
    channel = Channel(stream, h11.SERVER, limits.head_bytes)
    with suppress(*STREAM_ERRORS):
        await _send_last(channel, refusal)
