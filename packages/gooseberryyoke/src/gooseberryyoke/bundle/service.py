"""Services that backend servers offer."""

from gooseberryyoke.record import Record

__all__ = ["ENGINE", "PLAIN", "Service"]

ENGINE = "engine"
PLAIN = "plain"


class Service(Record):
    """
    One service.

    Parameters
    ----------
    kind : str
        `ENGINE` for model engines, `PLAIN` for other HTTP services.
    models : tuple of str
        Models that the engines of the service run; none for a plain service.
    name : str
    """

    __slots__ = ("name", "kind", "models")

    def __init__(self, kind, models=(), name=""):
        self.name = name
        self.kind = kind
        self.models = models
