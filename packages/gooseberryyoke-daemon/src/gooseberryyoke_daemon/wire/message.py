"""Requests and responses, apart from how they travel."""

from math import ceil
from urllib.parse import parse_qsl, unquote

import orjson

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.record import Record

__all__ = [
    "VERDICT_HEADER",
    "Request",
    "Response",
    "answer_json_call",
    "bad_message_response",
    "find_header",
    "json_response",
    "problem_response",
]

_BAD_REQUEST = 400
_LONGEST_DETAIL = 300
VERDICT_HEADER = "gooseberryyoke-verdict"


def find_header(headers, name, default=None):
    """
    Find the first header of a name.

    Parameters
    ----------
    headers : iterable of (str, str)
        Pairs with lower-case names.
    name : str
        Name in any case.
    default : str, optional
        Returned if there is none.

    Returns
    -------
    str or None
    """
    name = name.lower()
    return next((value for key, value in headers if key == name), default)


def _normalize(headers):
    return tuple((name.lower(), value) for name, value in headers)


class Request(Record):
    """
    A request, read whole.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path with query, as sent.
    headers : iterable of (str, str)
        Pairs; names are turned to lower case.
    body : bytes
        Empty if there is none.

    Examples
    --------
    >>> req = Request("GET", "/v1/certificates/7?copy=1", [("Accept", "*/*")])
    >>> req.path, req.query, req.header("accept")
    ('/v1/certificates/7', {'copy': '1'}, '*/*')
    """

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers=(), body=b""):
        self.method = method
        self.target = target
        self.headers = _normalize(headers)
        self.body = body

    @property
    def path(self):
        """Path without query, percent escapes decoded."""
        return unquote(self.target.partition("?")[0])

    @property
    def query(self):
        """Query parameters, the last of each name."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))

    def header(self, name, default=None):
        """See `find_header`."""
        return find_header(self.headers, name, default)


class Response(Record):
    """
    A response; its body may be produced while it is sent.

    Parameters
    ----------
    status : int
        HTTP status, 200 or more.
    headers : iterable of (str, str)
        Pairs; names are turned to lower case. The server adds the framing.
    body : bytes or async iterator of bytes
        An iterator is sent chunk by chunk; if it raises, the connection is cut,
        so that the peer can't take a part for the whole.
    until_close : bool
        The body ends with the connection, as nobody can tell that it is whole: a
        length or a last chunk would claim it.
    """

    __slots__ = ("status", "headers", "body", "until_close")

    def __init__(self, status, headers=(), body=b"", until_close=False):
        self.status = status
        self.headers = _normalize(headers)
        self.body = body
        self.until_close = until_close

    def header(self, name, default=None):
        """See `find_header`."""
        return find_header(self.headers, name, default)


def json_response(status, payload, headers=()):
    """
    Make a response with a JSON body.

    Parameters
    ----------
    status : int
        HTTP status.
    payload : object
        Anything that orjson writes.
    headers : iterable of (str, str)
        More headers.

    Returns
    -------
    Response
    """
    kind = ("content-type", "application/json")
    return Response(status, (kind, *headers), orjson.dumps(payload))


def problem_response(refusal, headers=(), retry_digits=0):
    """
    Turn a refusal into problem JSON (RFC 9457).

    Parameters
    ----------
    refusal : Refusal
        What the caller is told.
    headers : iterable of (str, str)
        More headers.
    retry_digits : int
        Decimals of Retry-After. 0 as HTTP has it; more where the callers are known
        to read fractions, and a whole second would be most of their patience.

    Returns
    -------
    Response
        With the verdict header, and Retry-After if known.
    """
    payload = {
        "type": f"urn:gooseberryyoke:problem:{refusal.reason}",
        "title": refusal.reason.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason,
        "verdict": refusal.verdict.value,
    }
    fixed = [
        ("content-type", "application/problem+json"),
        (VERDICT_HEADER, refusal.verdict.value),
    ]
    if refusal.retry_after_s is not None:
        payload["retry_after_s"] = refusal.retry_after_s
        fixed.append(("retry-after", _retry_text(refusal.retry_after_s, retry_digits)))
    if refusal.alternatives:
        payload["alternatives"] = list(refusal.alternatives)
    return Response(refusal.status, (*fixed, *headers), orjson.dumps(payload))


async def answer_json_call(request, answer):
    """
    Answer a call whose body is JSON; one that can't be read is refused.

    Parameters
    ----------
    request : Request
    answer : callable
        Takes what the body holds and gives a `Response`, asynchronously. What it
        raises for a body of another form is part of the refusal.

    Returns
    -------
    Response
    """
    try:
        return await answer(orjson.loads(request.body))
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as exc:
        detail = f"{request.path}: {type(exc).__name__} {exc}"
        return bad_message_response(detail[:_LONGEST_DETAIL])


def bad_message_response(detail):
    """
    Refuse a message of another process that can't be read.

    Parameters
    ----------
    detail : str
        What is wrong with it.

    Returns
    -------
    Response
        With the verdict not-run.
    """
    refusal = Refusal(Verdict.NOT_RUN, _BAD_REQUEST, "bad-message", detail)
    return problem_response(refusal)


def _retry_text(seconds, digits):
    if digits:
        return f"{seconds:.{digits}f}"
    return str(max(1, ceil(seconds)))
