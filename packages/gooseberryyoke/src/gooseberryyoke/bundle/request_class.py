"""Request classes."""

from gooseberryyoke.record import Record

__all__ = ["RequestClass"]


class RequestClass(Record):
    """
    Class of requests with the same service, patience and priority.

    Parameters
    ----------
    service : str
        Name of the service that handles the requests.
    recognition : Recognition
        Conditions under which a request belongs to the class.
    repeatable : bool
        Whether a request may run more than once (it is idempotent).
    default_patience_s : float
        Time in seconds that a caller waits for the complete response outside of the
        windows.
    windows : tuple of PatienceWindow
        Patience by local time of day.
    priority : int
        0 is the highest priority.
    name : str
        Key of the class in the bundle.
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
