"""Metrics of a process, for ``/metrics``."""

from gooseberryyoke_daemon.metrics.definition import COUNTERS, GAUGES, HISTOGRAMS
from gooseberryyoke_daemon.metrics.registry import METRICS_TYPE, Metrics

__all__ = ["COUNTERS", "GAUGES", "HISTOGRAMS", "METRICS_TYPE", "Metrics"]
