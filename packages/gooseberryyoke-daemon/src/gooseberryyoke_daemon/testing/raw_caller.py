"""A caller that tells apart how answers end, down to the connection."""

from enum import Enum

import h11
import trio

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS
from gooseberryyoke_daemon.wire.framing import framing_of_response

__all__ = ["AnswerEnd", "RawAnswer", "ask_raw"]

_RECEIVE_BYTES = 64 * 1024


class AnswerEnd(Enum):
    """What a caller can tell about the end of an answer."""

    WHOLE = "whole"
    """Its length, or its last chunk, has come."""
    CLOSED = "closed"
    """The connection has ended as it does after a whole answer without framing."""
    CUT = "cut"
    """The connection has ended, or was reset, before the answer was whole."""


class RawAnswer(Record):
    """
    An answer as it came.

    Parameters
    ----------
    status : int or None
        None if there was no head.
    headers : tuple of (str, str)
        Pairs with lower-case names.
    body : bytes
    end : AnswerEnd
    """

    __slots__ = ("status", "headers", "body", "end")

    def __init__(self, status, headers, body, end):
        self.status = status
        self.headers = headers
        self.body = body
        self.end = end


async def ask_raw(network, address, request, version="1.1", pause_s=0.0):
    """
    Send a request and read until the connection ends or the answer is whole.

    Parameters
    ----------
    network : MemoryHost or TcpNetwork
    address : Address
    request : Request
    version : str
        Of HTTP; a caller of 1.0 can't be sent chunks.
    pause_s : float
        For which nothing is read, after the request was sent.

    Returns
    -------
    RawAnswer
    """
    stream = await network.connect(address)
    async with stream:
        await stream.send_all(_encode(request, version))
        await trio.sleep(pause_s)
        return await _read(stream, request.method)


def _encode(request, version):
    headers = [*request.headers, ("content-length", str(len(request.body)))]
    lines = [f"{request.method} {request.target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + request.body


async def _read(stream, method):
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
    conn.send(h11.EndOfMessage())
    status, headers, body = None, (), bytearray()
    while True:
        try:
            event = await _next_event(conn, stream)
        except (*STREAM_ERRORS, h11.RemoteProtocolError):
            return RawAnswer(status, headers, bytes(body), AnswerEnd.CUT)
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = tuple((n.decode(), v.decode("latin-1")) for n, v in event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            told = framing_of_response(method, status, headers).tells_end
            end = AnswerEnd.WHOLE if told else AnswerEnd.CLOSED
            return RawAnswer(status, headers, bytes(body), end)
        elif isinstance(event, h11.ConnectionClosed):
            return RawAnswer(status, headers, bytes(body), AnswerEnd.CUT)


async def _next_event(conn, stream):
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(await stream.receive_some(_RECEIVE_BYTES))
    return event
