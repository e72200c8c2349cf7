"""The final answer to a request that is not answered by a backend server."""

from gooseberryyoke.record import Record

__all__ = ["Refusal"]


class Refusal(Record):
    """
    A refusal, as it travels through every error path.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    status : int
        HTTP status towards the caller.
    reason : str
        Short code in kebab case, stable across releases (``no-server``).
    detail : str
        One sentence that names the offending value and what was expected.
    retry_after_s : float, optional
        When coming back makes sense, in seconds from now; None if it doesn't.
    alternatives : tuple of str
        Base URLs of other entries to try now.
    """

    __slots__ = (
        "verdict",
        "status",
        "reason",
        "detail",
        "retry_after_s",
        "alternatives",
    )

    def __init__(
        self, verdict, status, reason, detail, retry_after_s=None, alternatives=()
    ):
        self.verdict = verdict
        self.status = status
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.alternatives = tuple(alternatives)
