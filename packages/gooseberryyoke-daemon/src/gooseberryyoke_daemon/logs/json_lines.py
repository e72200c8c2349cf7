"""The sink that writes records of loguru as flat JSON lines."""

import sys
from datetime import UTC

import orjson
from loguru import logger

__all__ = ["LOG_LEVELS", "configure_logs", "log_event"]

LOG_LEVELS = ("debug", "info", "warning", "error")
_OWN_FIELDS = frozenset(("time", "level", "event", "traceback"))


def configure_logs(level="info", stream=None, **always):
    """
    Send all logs of the process to a stream, one JSON object a line.

    Parameters
    ----------
    level : str
        The least of `LOG_LEVELS` that is written.
    stream : text stream, optional
        Standard error if left out.
    **always
        Fields of every line, such as the name of the process.
    """
    output = sys.stderr if stream is None else stream

    def _write(message):
        output.write(_line(message.record, always))
        output.flush()

    logger.remove()
    # With diagnose, loguru prints the values of variables, keys among them. With
    # enqueue it would start a process.
    logger.add(
        _write,
        level=level.upper(),
        format="{message}",
        backtrace=False,
        diagnose=False,
        enqueue=False,
    )


def log_event(event, level="info", **fields):
    """
    Log an event.

    Parameters
    ----------
    event : str
        Name in kebab case, stable across releases; listed for operators in
        ``docs/operators/log-events.md``.
    level : str
        One of `LOG_LEVELS`.
    **fields
        Flat values; ``request`` and ``attempt`` hold the numbers of those.
    """
    logger.bind(**fields).log(level.upper(), "{}", event)


def _line(record, always):
    line = {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **always,
    }
    for name, value in record["extra"].items():
        line[f"field_{name}" if name in _OWN_FIELDS else name] = value
    if record["exception"] is not None:
        line["traceback"] = _traceback(record["exception"])
    return (
        orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode() + "\n"
    )


def _traceback(exception):
    from traceback import format_exception

    return "".join(
        format_exception(exception.type, exception.value, exception.traceback)
    )
