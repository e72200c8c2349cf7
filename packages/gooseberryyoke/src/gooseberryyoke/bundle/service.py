"""Services provided by backend servers."""

from gooseberryyoke.record import Record

__all__ = ["ENGINE", "PLAIN", "Service"]

ENGINE = "engine"
PLAIN = "plain"


class Service(Record):
    """
    Service provided by model engines or by other HTTP servers.

    Parameters
    ----------
    kind : str
        `ENGINE` for model engines, `PLAIN` for other HTTP services.
    models : tuple of str
        Models run by the engines of the service; empty for a plain service.
    name : str
        Key of the service in the bundle.
    """

    __slots__ = ("name", "kind", "models")

    def __init__(self, kind, models=(), name=""):
        self.name = name
        self.kind = kind
        self.models = models
