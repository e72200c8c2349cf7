"""Frames of an answer and their encoding as JSON lines."""

from base64 import b64decode, b64encode
from functools import singledispatch

from orjson import JSONDecodeError, dumps, loads

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.record import Record
from gooseberryyoke.stream.exceptions import FrameError

__all__ = [
    "AbortFrame",
    "DataFrame",
    "EndFrame",
    "HeadFrame",
    "HeartbeatFrame",
    "decode_frame",
    "encode_frame",
]


class HeadFrame(Record):
    """
    Status and headers of the backend server's answer; sequence number 0.

    Parameters
    ----------
    attempt : str
        Number of the attempt that the frame belongs to.
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Header names in lower case, with their values.
    until_close : bool
        Whether the server's answer ends only with its connection, so that a truncated
        answer can't be distinguished from a complete one.
    """

    __slots__ = ("attempt", "status", "headers", "until_close")
    sequence = 0

    def __init__(self, attempt, status, headers, until_close=False):
        self.attempt = attempt
        self.status = status
        self.headers = tuple(tuple(pair) for pair in headers)
        self.until_close = until_close


class DataFrame(Record):
    """
    A piece of the body.

    Parameters
    ----------
    attempt : str
    sequence : int
        Position among the head and data frames, from 1.
    data : bytes
    """

    __slots__ = ("attempt", "sequence", "data")

    def __init__(self, attempt, sequence, data):
        self.attempt = attempt
        self.sequence = sequence
        self.data = data


class EndFrame(Record):
    """
    Explicit end of an answer, without which the answer is never considered complete.

    Parameters
    ----------
    attempt : str
    count : int
        Number of head and data frames.
    digest : str
        Hexadecimal xxh3_128 of the body.
    """

    __slots__ = ("attempt", "count", "digest")

    def __init__(self, attempt, count, digest):
        self.attempt = attempt
        self.count = count
        self.digest = digest


class AbortFrame(Record):
    """
    Notice that the agent has abandoned the attempt.

    Parameters
    ----------
    attempt : str
    verdict : Verdict
        Whether the backend server may have run the request.
    reason : str
        Short code in kebab case.
    detail : str
    """

    __slots__ = ("attempt", "verdict", "reason", "detail")

    def __init__(self, attempt, verdict, reason, detail):
        self.attempt = attempt
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class HeartbeatFrame(Record):
    """Keep-alive frame, sent while no other frame is due."""

    __slots__ = ("attempt",)

    def __init__(self, attempt):
        self.attempt = attempt


@singledispatch
def _fields_of(frame):
    raise TypeError(f"{frame!r} is not a frame")


@_fields_of.register
def _(frame: HeadFrame):
    body = {"k": "head", "status": frame.status, "headers": frame.headers}
    return {**body, "until_close": True} if frame.until_close else body


@_fields_of.register
def _(frame: DataFrame):
    # Text is sent unencoded: most data is text, and base64 takes a third more bytes.
    try:
        return {"k": "data", "s": frame.sequence, "t": frame.data.decode("utf-8")}
    except UnicodeDecodeError:
        return {"k": "data", "s": frame.sequence, "b": b64encode(frame.data).decode()}


@_fields_of.register
def _(frame: EndFrame):
    return {"k": "end", "count": frame.count, "digest": frame.digest}


@_fields_of.register
def _(frame: AbortFrame):
    return {
        "k": "abort",
        "verdict": frame.verdict.value,
        "reason": frame.reason,
        "detail": frame.detail,
    }


@_fields_of.register
def _(frame: HeartbeatFrame):
    return {"k": "heartbeat"}


def encode_frame(frame):
    r"""
    Encode a frame as one JSON line.

    Parameters
    ----------
    frame : HeadFrame, DataFrame, EndFrame, AbortFrame or HeartbeatFrame

    Returns
    -------
    bytes
        JSON with a line feed at its end.

    Examples
    --------
    >>> encode_frame(DataFrame("a1", 1, b"x"))
    b'{"a":"a1","k":"data","s":1,"t":"x"}\n'
    """
    return dumps({"a": frame.attempt, **_fields_of(frame)}) + b"\n"


def _decode_data(body):
    if "b" in body:
        return b64decode(body["b"], validate=True)
    return body["t"].encode("utf-8")


def _decode_head(attempt, body):
    # Agents of earlier releases do not send `until_close`.
    until_close = body.get("until_close") is True
    return HeadFrame(attempt, int(body["status"]), body["headers"], until_close)


_DECODERS = {
    "head": _decode_head,
    "data": lambda attempt, body: DataFrame(
        attempt, int(body["s"]), _decode_data(body)
    ),
    "end": lambda attempt, body: EndFrame(
        attempt, int(body["count"]), str(body["digest"])
    ),
    "abort": lambda attempt, body: AbortFrame(
        attempt, Verdict(body["verdict"]), body["reason"], body["detail"]
    ),
    "heartbeat": lambda attempt, body: HeartbeatFrame(attempt),
}


def decode_frame(line):
    """
    Decode a frame from one JSON line.

    Parameters
    ----------
    line : bytes
        A line, with or without its line feed.

    Returns
    -------
    HeadFrame, DataFrame, EndFrame, AbortFrame or HeartbeatFrame

    Raises
    ------
    FrameError
        If the line is not a valid frame.
    """
    try:
        body = loads(line)
        return _DECODERS[body["k"]](body["a"], body)
    except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as exc:
        excerpt = bytes(line[:80])
        raise FrameError(f"{excerpt!r} is not a frame: {exc!r}") from exc
