"""Failures of exchanges over the network."""

from gooseberryyoke.outcome import Verdict

__all__ = [
    "BodyCut",
    "ConnectFailed",
    "ExchangeBroken",
    "RequestRefused",
    "UnsendableRequest",
    "WireError",
]


class BodyCut(Exception):
    """
    Raised by the body of a response that must not be taken for whole.

    The server cuts the connection, as it does on any error of a body, but counts
    it as intended: an answer given up at its deadline is no fault of the process.
    """


class WireError(Exception):
    """
    An exchange that brought no whole answer.

    Parameters
    ----------
    address : Address
        The process that was asked.
    detail : str
        What went wrong.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run at the other end.
    """

    verdict = Verdict.MAY_HAVE_RUN

    def __init__(self, address, detail):
        super().__init__(f"{address}: {detail}")
        self.address = address
        self.detail = detail


class ConnectFailed(WireError):  # noqa: N818
    """No connection came about, so no byte of the request was written."""

    verdict = Verdict.NOT_RUN


class UnsendableRequest(WireError):  # noqa: N818
    """The request is no valid HTTP, so no byte of it was written."""

    verdict = Verdict.NOT_RUN


class ExchangeBroken(WireError):  # noqa: N818
    """The request was written, wholly or in part, and no whole answer came."""


class RequestRefused(Exception):  # noqa: N818
    """
    A request that the server refuses while reading it.

    Parameters
    ----------
    refusal : Refusal
        The answer to send before the connection is closed.
    """

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal
