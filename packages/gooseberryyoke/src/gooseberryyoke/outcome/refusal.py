"""Final answer to a request that no backend server answers."""

from gooseberryyoke.record import Record

__all__ = ["Refusal"]


class Refusal(Record):
    """
    Refusal of a request, used by all error paths.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    status : int
        HTTP status sent to the caller.
    reason : str
        Short code in kebab case, stable across releases (``no-server``).
    detail : str
        One sentence that states the invalid value and the expected one.
    retry_after_s : float, optional
        Time in seconds after which a retry is useful; None if it is not.
    alternatives : tuple of str
        Base URLs of other entries that can be tried at once.
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
