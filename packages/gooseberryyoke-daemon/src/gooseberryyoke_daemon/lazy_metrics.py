"""Metrics whose library is loaded after what they count has begun."""

from importlib import import_module

__all__ = ["METRICS_MODULE", "LazyMetrics"]

METRICS_MODULE = "gooseberryyoke_daemon.metrics"
_HELD = 2000
"""Observations that are kept until the metrics are loaded."""


class LazyMetrics:
    """
    Keeps observations until the metrics are loaded; base of observers.

    The metrics' library takes a third of a second to load on a small instance, which a
    process that has just started does not have: what is observed before `load` is kept.

    Attributes
    ----------
    metrics : Metrics or None
    """

    def __init__(self):
        self.metrics = None
        self._held = []

    def load(self):
        """Load the metrics, and put in what was observed before."""
        if self.metrics is not None:
            return
        self.metrics = import_module(METRICS_MODULE).Metrics()
        held, self._held = self._held, []
        for observation in held:
            self._put(*observation)

    def _put(self, kind, name, labels, *values):
        if self.metrics is not None:
            getattr(self.metrics, kind)(name, *values, **labels)
        elif len(self._held) < _HELD:
            self._held.append((kind, name, labels, *values))
