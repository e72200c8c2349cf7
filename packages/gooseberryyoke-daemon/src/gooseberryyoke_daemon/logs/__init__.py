"""Logs as JSON lines, each a named event with flat fields."""

from gooseberryyoke_daemon.logs.bounded import LineBudget, PipeWriter
from gooseberryyoke_daemon.logs.json_lines import LOG_LEVELS, configure_logs, log_event

__all__ = [
    "LOG_LEVELS",
    "LineBudget",
    "PipeWriter",
    "configure_logs",
    "log_event",
]
