"""Requests read within the limits."""

import h11

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.wire.exceptions import RequestRefused
from gooseberryyoke_daemon.wire.message import Request

__all__ = ["read_request", "refusal_of"]

_REASONS = {400: "bad-request", 431: "head-too-large"}
_MEMORY_RETRY_S = 1.0
"""Value of Retry-After while memory for bodies is used up. Most bodies are held for the
second or two that their answer takes."""


def refusal_of(status, reason, detail, retry_after_s=None):
    """
    Make the refusal of a request that never reached the handler.

    Parameters
    ----------
    status : int
        HTTP status.
    reason, detail : str
        As in `Refusal`.
    retry_after_s : float, optional
        As in `Refusal`.

    Returns
    -------
    Refusal
        With the verdict not-run.
    """
    return Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s)


async def read_request(channel, limits, holding):
    """
    Read one request whole.

    Parameters
    ----------
    channel : Channel
        Of the server's end.
    limits : Limits
        On the request.
    holding : Holding
        Counts the body, also if it does not become whole.

    Returns
    -------
    Request or None
        None if the peer closed before its first byte.

    Raises
    ------
    RequestRefused
        If the request breaks a limit or the protocol.
    """
    try:
        return await _read(channel, limits, holding)
    except h11.RemoteProtocolError as exc:
        status = exc.error_status_hint
        reason = _REASONS.get(status, "bad-request")
        raise RequestRefused(refusal_of(status, reason, str(exc))) from exc


async def _read(channel, limits, holding):
    head = await channel.receive()
    if isinstance(head, h11.ConnectionClosed):
        return None
    _check_head(head, limits, holding)
    if channel.conn.they_are_waiting_for_100_continue:
        await channel.send(h11.InformationalResponse(status_code=100, headers=[]))
    body = await _read_body(channel, limits, holding)
    return Request(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        ],
        body,
    )


def _check_head(head, limits, holding):
    if head.method == b"CONNECT":
        detail = "method CONNECT, expected one that names a path of this server"
        raise RequestRefused(refusal_of(501, "method-not-supported", detail))
    if len(head.headers) > limits.header_count:
        detail = f"{len(head.headers)} headers, at most {limits.header_count}"
        raise RequestRefused(refusal_of(431, "too-many-headers", detail))
    # h11 limits only a head that comes in parts; one that was read at once counts too.
    size = (
        len(head.method)
        + len(head.target)
        + sum(len(name) + len(value) + len(b": \r\n") for name, value in head.headers)
    )
    if size > limits.head_bytes:
        detail = f"head of {size} bytes, at most {limits.head_bytes}"
        raise RequestRefused(refusal_of(431, "head-too-large", detail))
    for name, value in head.headers:
        if name == b"content-length":
            _check_body_size(int(value), limits)
            _check_memory(int(value), holding)


def _check_body_size(size, limits):
    if size > limits.body_bytes:
        detail = f"body of {size} bytes or more, at most {limits.body_bytes}"
        raise RequestRefused(refusal_of(413, "body-too-large", detail))


def _check_memory(size, holding):
    if size and not holding.fits(size):
        detail = f"memory for bodies is used up, {size} bytes more don't fit"
        raise RequestRefused(refusal_of(503, "memory-full", detail, _MEMORY_RETRY_S))


async def _read_body(channel, limits, holding):
    body = bytearray()
    while isinstance(event := await channel.receive(), h11.Data):
        _check_body_size(len(body) + len(event.data), limits)
        _check_memory(len(event.data), holding)
        holding.acquire(len(event.data))
        body += event.data
    return bytes(body)
