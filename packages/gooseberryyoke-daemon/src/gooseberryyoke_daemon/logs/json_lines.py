"""The sink that writes records of loguru as flat JSON lines."""

import sys
from datetime import UTC

import orjson
from loguru import logger

__all__ = ["LOG_LEVELS", "configure_logs", "log_event"]

LOG_LEVELS = ("debug", "info", "warning", "error")
_OWN_FIELDS = frozenset(("time", "level", "event", "traceback"))


def configure_logs(level="info", stream=None, budget=None, **always):
    """
    Send all logs of the process to a stream, one JSON object a line.

    Parameters
    ----------
    level : str
        The least of `LOG_LEVELS` that is written.
    stream : text stream or PipeWriter, optional
        Standard error if left out.
    budget : LineBudget, optional
        Bounds the lines of each event; all are written without it.
    **always
        Fields of every line, such as the name of the process.
    """
    output = sys.stderr if stream is None else stream

    def _write(message):
        record = message.record
        if budget is not None and not _admit(budget, record, output, always):
            return
        output.write(_line(record, always))
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


def _admit(budget, record, output, always):
    now = record["time"].timestamp()
    left_out = budget.take_left_out(now)
    if left_out:
        line = {"event": "lines-left-out", **always, "lines": left_out}
        output.write(orjson.dumps({**_stamp(record), **line}).decode() + "\n")
    return budget.admit(record["message"], now)


def _stamp(record):
    return {
        "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
    }


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
    line = {**_stamp(record), "event": record["message"], **always}
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
