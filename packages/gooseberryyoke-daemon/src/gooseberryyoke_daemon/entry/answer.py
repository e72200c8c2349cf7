"""Answers as callers get them, with their verdict."""

from orjson import dumps

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire import VERDICT_HEADER

__all__ = ["Answer", "answer_headers", "error_event", "verdict_of_status"]

_SERVER_ERROR = 500


class Answer(Record):
    """
    An answer of a backend server, to its end.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
        Empty if the pieces have been passed on already.
    verdict : Verdict
    until_close : bool
        Only its connection told the end: the caller is not told that it is whole.
    """

    __slots__ = ("status", "headers", "body", "verdict", "until_close")

    def __init__(self, status, headers, body, verdict, until_close=False):
        self.status = status
        self.headers = tuple(tuple(pair) for pair in headers)
        self.body = body
        self.verdict = verdict
        self.until_close = until_close


def verdict_of_status(status):
    """
    Tell whether a backend server that answered with a status has run the request.

    Parameters
    ----------
    status : int

    Returns
    -------
    Verdict
        May-have-run for 5xx: a server that failed may have done its work before.
    """
    return Verdict.MAY_HAVE_RUN if status >= _SERVER_ERROR else Verdict.RAN


def answer_headers(headers, verdict):
    """
    Add the verdict to the headers of an answer.

    Parameters
    ----------
    headers : tuple of (str, str)
    verdict : Verdict

    Returns
    -------
    tuple of (str, str)
    """
    return (*headers, (VERDICT_HEADER, verdict.value))


def error_event(refusal):
    """
    Show a refusal as an event that ends a stream short.

    Parameters
    ----------
    refusal : Refusal

    Returns
    -------
    bytes
    """
    problem = dumps(
        {
            "reason": refusal.reason,
            "detail": refusal.detail,
            "verdict": refusal.verdict.value,
            "retry_after_s": refusal.retry_after_s,
        }
    )
    return b"event: error\ndata: " + problem + b"\n\n"
