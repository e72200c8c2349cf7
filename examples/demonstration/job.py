"""Requests to send, and what became of them."""

from gooseberryyoke.record import Record

__all__ = ["Job", "Outcome"]


class Job(Record):
    """
    One request with what a right answer to it is.

    Parameters
    ----------
    class_name : str
        Class of the bundle that it falls under.
    account : str
        Client account that sends it.
    name : str
        Business key, unique in the run.
    request : Request
        Without the caller's key.
    repeatable : bool
        Whether it may run twice.
    is_right : callable
        Tells whether a whole body is the answer to this request.
    """

    __slots__ = ("class_name", "account", "name", "request", "repeatable", "is_right")

    def __init__(self, class_name, account, name, request, repeatable, is_right):
        self.class_name = class_name
        self.account = account
        self.name = name
        self.request = request
        self.repeatable = repeatable
        self.is_right = is_right


class Outcome:
    """
    What became of a job.

    Parameters
    ----------
    job : Job
        The request.

    Attributes
    ----------
    verdicts : list of Verdict
        One for each time that it was sent.
    failures : list of (Verdict, str)
        Each time that brought no whole answer, with the address and the reason.
    latency_s : float or None
        From the first sending to the whole answer, in seconds.
    is_whole : bool
        Whether a whole answer came.
    is_right : bool
        Whether it was the answer to this request.
    """

    __slots__ = ("job", "verdicts", "failures", "latency_s", "is_whole", "is_right")

    def __init__(self, job):
        self.job = job
        self.verdicts = []
        self.failures = []
        self.latency_s = None
        self.is_whole = False
        self.is_right = False

    @property
    def verdict(self):
        """All that is known of whether the request ran."""
        verdict, *later = self.verdicts
        for other in later:
            verdict = verdict.then(other)
        return verdict
