"""The HTTP client: exchanges with a verdict when they fail."""

import errno
from contextlib import asynccontextmanager

import h11
import orjson
import trio

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS, Channel
from gooseberryyoke_daemon.wire.exceptions import (
    ConnectFailed,
    ExchangeBroken,
    UnsendableRequest,
)
from gooseberryyoke_daemon.wire.limits import Limits
from gooseberryyoke_daemon.wire.message import VERDICT_HEADER, Request, find_header
from gooseberryyoke_daemon.wire.pool import Pool
from gooseberryyoke_daemon.wire.reply import Reply

__all__ = ["HttpClient", "JsonReply", "Reply"]

_SAFE_METHODS = ("GET", "HEAD")
_REQUEST_TIMEOUT = 408
_HIGHEST_STATUS = 599
_MOST_INFORMATIONAL = 16
"""Replies 1xx before the final one; a server may send them without end."""


class JsonReply(Record):
    """
    A reply whose body was JSON.

    Parameters
    ----------
    status : int
        HTTP status.
    payload : object
        The decoded body, None if it was empty.
    headers : tuple of (str, str)
        Pairs with lower-case names.
    """

    __slots__ = ("status", "payload", "headers")

    def __init__(self, status, payload, headers=()):
        self.status = status
        self.payload = payload
        self.headers = tuple(headers)

    def header(self, name, default=None):
        """See `find_header`."""
        return find_header(self.headers, name, default)


class HttpClient:
    """
    Makes exchanges over kept connections.

    Parameters
    ----------
    network : TcpNetwork or MemoryNetwork
        Opens connections.
    limits : Limits, optional
        On replies and kept connections.
    signer : Signer, optional
        Signs each request, for messages between the system's own processes.
    keeps_host : bool
        Leave the host that a request names, for servers that go by it.
    connect_timeout_s : float, optional
        For a connection to come about; what was not connected has not run.
    """

    def __init__(
        self,
        network,
        limits=None,
        signer=None,
        keeps_host=False,
        connect_timeout_s=None,
    ):
        self._network = network
        self._connect_timeout_s = connect_timeout_s
        self._keeps_host = keeps_host
        self._limits = limits or Limits()
        self._signer = signer
        self._pool = Pool(self._limits)

    @asynccontextmanager
    async def open(
        self, address, request, timeout_s=None, repeatable=False, fresh=False
    ):
        """
        Send a request and give its reply, once the head has come.

        Parameters
        ----------
        address : Address
            Of the server.
        request : Request
            Sent with the headers ``host`` and ``content-length``.
        timeout_s : float, optional
            Until the head of the reply; the body is the caller's to time.
        repeatable : bool
            Send again, on a new connection, if a kept one turns out closed
            before any byte of a reply.
        fresh : bool
            Take no kept connection.

        Yields
        ------
        Reply
            Leaving the block before its end closes the connection, which
            cancels the handler at the other end.

        Raises
        ------
        ConnectFailed
            If there was no connection: the request did not run.
        UnsendableRequest
            If it is no valid HTTP: it did not run.
        ExchangeBroken
            If it broke after the first byte may have left.
        """
        attempt = _Attempt(self, address, request, repeatable)
        channel = None
        try:
            with trio.move_on_after(_or_forever(timeout_s)) as scope:
                reply = await attempt.run(fresh)
            if scope.cancelled_caught:
                await self._pool.forget(address)
                raise attempt.timed_out(timeout_s)
            channel = attempt.channel
            yield reply
        finally:
            if channel is not None and reply.is_complete:
                await self._pool.put(address, channel)
            elif attempt.channel is not None:
                await trio.aclose_forcefully(attempt.channel.stream)

    async def json(
        self,
        method,
        address,
        path,
        payload=None,
        timeout_s=None,
        headers=(),
        repeatable=None,
    ):
        """
        Exchange JSON, read whole.

        Parameters
        ----------
        method : str
            HTTP method.
        address : Address
            Of the server.
        path : str
            Path with query.
        payload : object, optional
            Body; none for None.
        timeout_s : float, optional
            For the whole exchange.
        headers : iterable of (str, str)
            More headers.
        repeatable : bool, optional
            As in `open`; GET and HEAD are unless told otherwise.

        Returns
        -------
        JsonReply

        Raises
        ------
        ConnectFailed, ExchangeBroken
            As in `open`.
        """
        body = b"" if payload is None else orjson.dumps(payload)
        kind = () if payload is None else (("content-type", "application/json"),)
        request = Request(method, path, (*kind, *headers), body)
        if repeatable is None:
            repeatable = method in _SAFE_METHODS
        deadline_s = trio.current_time() + _or_forever(timeout_s)
        async with self.open(address, request, timeout_s, repeatable) as reply:
            with trio.move_on_at(deadline_s):
                return _decode(address, reply, await reply.read())
        raise ExchangeBroken(address, f"no whole reply within {timeout_s:g} s")

    async def is_refused(self, address):
        """
        Tell whether nothing listens at an address.

        Parameters
        ----------
        address : Address

        Returns
        -------
        bool
            False also if nobody answers in time.
        """
        with trio.move_on_after(_or_forever(self._connect_timeout_s)):
            try:
                stream = await self._network.connect(address)
            except OSError as exc:
                return _is_refusal(exc)
            await trio.aclose_forcefully(stream)
        return False

    async def aclose(self):
        """Close the kept connections."""
        await self._pool.aclose()

    async def take_channel(self, address, fresh):
        """
        Take a kept connection or open one.

        Parameters
        ----------
        address : Address
            Of the server.
        fresh : bool
            Take no kept one.

        Returns
        -------
        channel : Channel
        is_kept : bool

        Raises
        ------
        ConnectFailed
            If none came about.
        """
        channel = None if fresh else await self._pool.take(address)
        if channel is not None:
            return channel, True
        timeout_s = _or_forever(self._connect_timeout_s)
        try:
            with trio.move_on_after(timeout_s):
                stream = await self._network.connect(address)
                return Channel(stream, h11.CLIENT, self._limits.head_bytes), False
        except (OSError, *STREAM_ERRORS) as exc:
            raise ConnectFailed(address, f"no connection: {exc}") from exc
        raise ConnectFailed(address, f"no connection within {timeout_s:g} s")

    def prepare(self, address, request):
        """
        Add what each request carries.

        Parameters
        ----------
        address : Address
            Of the server.
        request : Request
            As given by the caller.

        Returns
        -------
        Request
            Signed, if the client has a signer, with a nonce of its own.
        """
        if not self._keeps_host:
            headers = [pair for pair in request.headers if pair[0] != "host"]
            request = request.replace(headers=[("host", str(address)), *headers])
        return self._signer.sign(request) if self._signer else request

    def reply_to(self, address, channel, head, method):
        """
        Wrap the head of a reply.

        Parameters
        ----------
        address : Address
            Of the server.
        channel : Channel
            That carries the body.
        head : h11.Response
            As received.
        method : str
            Of the request.

        Returns
        -------
        Reply
        """
        return Reply(address, channel, head, self._limits.body_bytes, method)


class _Attempt:
    """One call of `HttpClient.open` up to the head of the reply."""

    __slots__ = (
        "_client",
        "_address",
        "_request",
        "_repeatable",
        "_may_have_run",
        "channel",
    )

    def __init__(self, client, address, request, repeatable):
        self._client = client
        self._address = address
        self._request = request
        self._repeatable = repeatable
        self._may_have_run = False
        self.channel = None

    def timed_out(self, timeout_s):
        if self.channel is None and not self._may_have_run:
            detail = f"no connection within {timeout_s:g} s"
            return ConnectFailed(self._address, detail)
        return ExchangeBroken(self._address, f"no reply within {timeout_s:g} s")

    async def run(self, fresh):
        self.channel, is_kept = await self._client.take_channel(self._address, fresh)
        try:
            reply = await self._exchange()
        except ExchangeBroken:
            unread = self.channel.early_bytes == 0
            if not (is_kept and self._repeatable and unread):
                raise
            self._may_have_run = True
        else:
            if not (is_kept and _was_closing(reply)):
                return reply
        await self._drop()
        return await self._run_again()

    async def _run_again(self):
        try:
            return await self.run(fresh=True)
        except ConnectFailed as exc:
            if not self._may_have_run:
                raise
            detail = "kept connection lost, and no new one"
            raise ExchangeBroken(self._address, detail) from exc

    async def _drop(self):
        channel, self.channel = self.channel, None
        await trio.aclose_forcefully(channel.stream)

    async def _exchange(self):
        channel = self.channel
        channel.early_bytes = 0
        data = self._encode(self._client.prepare(self._address, self._request))
        try:
            await self._write(data)
            head = await self._read_head()
        except STREAM_ERRORS as exc:
            raise ExchangeBroken(self._address, f"connection lost: {exc}") from exc
        except h11.RemoteProtocolError as exc:
            detail = "closed before a reply"
            if channel.early_bytes:
                detail = f"no valid reply: {exc}"
            raise ExchangeBroken(self._address, detail) from exc
        method = self._request.method
        return self._client.reply_to(self._address, channel, head, method)

    def _encode(self, request):
        try:
            headers = [*request.headers, ("content-length", str(len(request.body)))]
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=[(name, value.encode("latin-1")) for name, value in headers],
            )
            parts = [h11.Data(request.body)] if request.body else []
            return self.channel.encode(head, *parts, h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise UnsendableRequest(self._address, f"no valid HTTP: {exc}") from exc

    async def _write(self, data):
        try:
            await self.channel.stream.send_all(data)
        except trio.BrokenResourceError:
            # A server may refuse a long body before its end and close; its answer
            # can still be read. If there is none, the read fails in turn.
            self.channel.is_write_broken = True

    async def _read_head(self):
        for _ in range(_MOST_INFORMATIONAL + 1):
            event = await self.channel.receive()
            if isinstance(event, h11.ConnectionClosed):
                raise trio.BrokenResourceError("closed before a reply")
            if not isinstance(event, h11.InformationalResponse):
                return _checked(event)
        raise h11.RemoteProtocolError(f"over {_MOST_INFORMATIONAL} replies 1xx")


def _checked(head):
    # Others mean nothing outside the peer, not even that it has worked.
    if head.status_code > _HIGHEST_STATUS:
        raise h11.RemoteProtocolError(f"status {head.status_code} is none of HTTP")
    return head


def _was_closing(reply):
    # A server that closes an idle connection says so with 408; a request that
    # crossed it was not read and may go out again, whatever its kind.
    not_run = reply.header(VERDICT_HEADER) == Verdict.NOT_RUN.value
    return reply.status == _REQUEST_TIMEOUT and not_run


def _is_refusal(exc):
    # trio raises an error of its own, from a group with one for each address it tried.
    causes = getattr(exc.__cause__, "exceptions", [exc])
    return all(cause.errno == errno.ECONNREFUSED for cause in causes)


def _or_forever(timeout_s):
    return float("inf") if timeout_s is None else timeout_s


def _decode(address, reply, body):
    try:
        payload = orjson.loads(body) if body else None
    except orjson.JSONDecodeError as exc:
        raise ExchangeBroken(address, f"reply is not JSON: {exc}") from exc
    return JsonReply(reply.status, payload, reply.headers)
