"""The page of the log events, found in the code by its calls of ``log_event``."""

import ast
from pathlib import Path

__all__ = ["find_events", "log_events_page"]

_ROOT = Path(__file__).parents[2]
_FOLDERS = ("packages", "platform")
_DEFAULT_LEVEL = "info"


def find_events(text):
    """
    Find the calls of ``log_event`` in the text of a module.

    Parameters
    ----------
    text : str

    Returns
    -------
    list of (str, str, tuple of str)
        Event, level and names of the fields.

    Examples
    --------
    >>> find_events('log_event("dispatch", attempt=1, **labels)')
    [('dispatch', 'info', ('attempt', '...'))]
    """
    calls = (node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Call))
    return [_event(call) for call in calls if _is_log_event(call)]


def _is_log_event(call):
    return (
        isinstance(call.func, ast.Name)
        and call.func.id == "log_event"
        and bool(call.args)
        and isinstance(call.args[0], ast.Constant)
    )


def _event(call):
    level = _DEFAULT_LEVEL
    fields = []
    for keyword in call.keywords:
        if keyword.arg == "level":
            constant = isinstance(keyword.value, ast.Constant)
            level = keyword.value.value if constant else "varies"
        else:
            fields.append(keyword.arg or "...")
    return call.args[0].value, level, tuple(fields)


def log_events_page():
    """
    Make the page of the log events.

    Returns
    -------
    str
    """
    rows = {}
    paths = [path for name in _FOLDERS for path in (_ROOT / name).rglob("*.py")]
    for path in sorted(paths):
        if "tests" in path.parts:
            continue
        for event, level, fields in find_events(path.read_text(encoding="utf-8")):
            row = rows.setdefault(event, (set(), {}, set()))
            row[0].add(level)
            row[1].update(dict.fromkeys(fields))
            row[2].add(path.parent.name)
    lines = [
        f"| `{event}` | {', '.join(sorted(levels))} | "
        f"{', '.join(f'`{name}`' for name in fields)} | {', '.join(sorted(places))} |"
        for event, (levels, fields, places) in sorted(rows.items())
    ]
    head = [
        "# Log events",
        "",
        "Made by `python -m tools.docs.reference`; change the definitions instead.",
        "",
        "Each line of the log is one flat JSON object with `time` (UTC), `level`,",
        "`event`, what names the process, and the fields of the event. `request` and",
        "`attempt` hold the numbers by which one request is followed through entry and",
        "agent. `traceback` stands in lines about faults of the program; it shows no",
        "values of variables.",
        "",
        "| event | level | fields | written by |",
        "| --- | --- | --- | --- |",
    ]
    return "\n".join([*head, *lines])
