"""Classes of requests."""

from gooseberryyoke.record import Record

__all__ = ["RequestClass"]


class RequestClass(Record):
    """
    One class of requests.

    Parameters
    ----------
    service : str
        Name of the service that answers.
    recognition : Recognition
    repeatable : bool
        Whether a request may run more than once (it is idempotent).
    default_patience_s : float
        How long a caller waits for the whole answer outside of the windows.
    windows : tuple of PatienceWindow
    priority : int
        0 is served first.
    name : str
    """

    __slots__ = (
        "name",
        "service",
        "recognition",
        "repeatable",
        "default_patience_s",
        "windows",
        "priority",
    )

    def __init__(
        self,
        service,
        recognition,
        repeatable,
        default_patience_s,
        windows=(),
        priority=0,
        name="",
    ):
        self.name = name
        self.service = service
        self.recognition = recognition
        self.repeatable = repeatable
        self.default_patience_s = default_patience_s
        self.windows = windows
        self.priority = priority
