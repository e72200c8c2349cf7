"""The registry, with a bound on the number of series."""

import re

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TEXT_CONTENT_TYPE, TextFormatter

from gooseberryyoke_daemon.metrics.definition import COUNTERS, GAUGES, HISTOGRAMS

__all__ = ["METRICS_TYPE", "Metrics"]

METRICS_TYPE = TEXT_CONTENT_TYPE
OTHER = "other"
NONE = "none"
_PREFIX = "gooseberryyoke_"
_MOST_SERIES = 100
# The text format of the library doesn't escape what stands in label values.
_UNSAFE = re.compile(r"[^A-Za-z0-9._:/-]")


class Metrics:
    """
    Histograms, counters and gauges of one process.

    Parameters
    ----------
    most_series : int
        Label sets that each metric keeps apart; of further ones the account, then
        every label, counts as ``other``.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.set("bundle_version", 7)
    >>> b"gooseberryyoke_bundle_version 7" in metrics.render()
    True
    """

    def __init__(self, most_series=_MOST_SERIES):
        self._registry = Registry()
        self._formatter = TextFormatter()
        self._series = {}
        for kind, definitions in (
            (Histogram, HISTOGRAMS),
            (Counter, COUNTERS),
            (Gauge, GAUGES),
        ):
            for definition in definitions:
                collector = self._collector(kind, definition)
                self._series[definition.name] = _Series(
                    collector, definition.labels, most_series
                )

    def observe(self, name, value_s, **labels):
        """
        Put a value into a histogram.

        Parameters
        ----------
        name : str
            One of `HISTOGRAMS`.
        value_s : float
        **labels
            ``account`` and ``request_class``, as far as known; None counts as
            ``none``.
        """
        series = self._series[name]
        series.collector.observe(series.label_set(labels), float(value_s))

    def count(self, name, **labels):
        """
        Add one to a counter.

        Parameters
        ----------
        name : str
            One of `COUNTERS`.
        **labels
            As of `observe`, and those of the counter.
        """
        series = self._series[name]
        series.collector.inc(series.label_set(labels))

    def set(self, name, value, **labels):
        """
        Set a gauge.

        Parameters
        ----------
        name : str
            One of `GAUGES`.
        value : float
        **labels
            Those of the gauge.
        """
        series = self._series[name]
        series.collector.set(series.label_set(labels), value)

    def render(self):
        """
        Show all metrics.

        Returns
        -------
        bytes
            Text exposition format, of the type `METRICS_TYPE`.
        """
        return self._formatter.marshall(self._registry)

    def _collector(self, kind, definition):
        options = {"buckets": definition.buckets} if definition.buckets else {}
        name = f"{_PREFIX}{definition.name}"
        return kind(name, definition.help, registry=self._registry, **options)


class _Series:
    """One collector with the label sets that it has."""

    __slots__ = ("collector", "_names", "_most", "_known")

    def __init__(self, collector, names, most):
        self.collector = collector
        self._names = names
        self._most = most
        self._known = set()

    def label_set(self, labels):
        """Give the labels to count under, within the bound."""
        values = tuple(_label_value(labels, name) for name in self._names)
        if self._admit(values):
            return dict(zip(self._names, values, strict=True))
        values = (OTHER, *values[1:])
        if self._names[:1] == ("account",) and self._admit(values, extra=self._most):
            return dict(zip(self._names, values, strict=True))
        return dict.fromkeys(self._names, OTHER)

    def _admit(self, values, extra=0):
        # Without a bound, 11,000 accounts in a few classes would take more memory
        # than the whole process has.
        if values in self._known:
            return True
        if len(self._known) >= self._most + extra:
            return False
        self._known.add(values)
        return True


def _label_value(labels, name):
    value = labels.get("request_class" if name == "class" else name)
    return NONE if value is None else _UNSAFE.sub("_", str(value))
