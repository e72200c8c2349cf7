"""One request's story, from the logs of any number of processes."""

from datetime import datetime

import orjson

from gooseberryyoke.record import Record

__all__ = ["LogLine", "Story", "ahead_of", "read_lines", "tell_story"]

_BEFORE_S = 5.0
_AFTER_S = 1.0
"""What a process believed is told from so long before a request's first line until so
long after its last one."""
_BELIEFS = frozenset(
    (
        "control-lost",
        "control-reached",
        "lines-left-out",
        "map-change-completed",
        "replicas-lost",
        "replicas-regained",
        "seats-changed",
        "server-backoff",
        "server-backoff-ended",
        "server-leaving",
        "started",
        "starting",
        "stopped",
        "stopping",
        "table-installed",
    )
)


class LogLine(Record):
    """
    One line of a log.

    Parameters
    ----------
    at_s : float
        By the clock of the process that wrote it, in seconds.
    position : int
        In its file; keeps lines of one clock reading in order.
    fields : dict
    """

    __slots__ = ("at_s", "position", "fields")

    def __init__(self, at_s, position, fields):
        self.at_s = at_s
        self.position = position
        self.fields = fields


class Story(Record):
    """
    What the logs say of a request.

    Parameters
    ----------
    lines : list of LogLine
        In order.
    skipped : int
        Lines that are no log lines of the product.
    """

    __slots__ = ("lines", "skipped")

    def __init__(self, lines, skipped):
        self.lines = lines
        self.skipped = skipped


def read_lines(texts):
    """
    Read log lines; what else stands between them is counted.

    Parameters
    ----------
    texts : iterable of str
        One a line, as written by any process.

    Returns
    -------
    lines : list of LogLine
    skipped : int
    """
    lines, skipped = [], 0
    for position, text in enumerate(texts):
        try:
            fields = orjson.loads(text[text.index("{") :])
            at_s = datetime.fromisoformat(fields["time"]).timestamp()
            str(fields["event"])
        except (KeyError, TypeError, ValueError):
            skipped += bool(text.strip())
            continue
        lines.append(LogLine(at_s, position, fields))
    return lines, skipped


def ahead_of(fields):
    """
    Read which requests were served before a waiting or refused one.

    Parameters
    ----------
    fields : dict
        Of a log line.

    Returns
    -------
    dict of int to int
        How many by urgency, the most urgent first; empty if the line tells none.
    """
    ahead = fields.get("ahead_by_urgency")
    if not isinstance(ahead, dict):
        return {}
    counts = {
        int(level): count
        for level, count in ahead.items()
        if level.lstrip("-").isdecimal() and type(count) is int
    }
    return dict(sorted(counts.items()))


def tell_story(request, lines, skipped=0):
    """
    Choose the lines that bear on a request.

    Parameters
    ----------
    request : str
        Its id.
    lines : list of LogLine
        Of all processes.
    skipped : int

    Returns
    -------
    Story
        Its own lines; what its gateway believed shortly before and meanwhile; and
        what any process noted of the servers that it met. Clocks differ between
        processes: across them the order is that of their own clocks.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return Story([], skipped)
    nodes = {line.fields.get("node") for line in own}
    servers = {line.fields["server"] for line in own if line.fields.get("server")}
    first_s = min(line.at_s for line in own) - _BEFORE_S
    last_s = max(line.at_s for line in own) + _AFTER_S

    def bears(line):
        fields = line.fields
        if fields.get("request") is not None:
            return fields["request"] == request
        begun_s = first_s - fields.get("left_ms", 0) / 1000
        if not begun_s <= line.at_s <= last_s:
            return False
        if fields.get("server") in servers:
            return True
        return fields["event"] in _BELIEFS and fields.get("node") in nodes

    chosen = [line for line in lines if bears(line)]
    chosen.sort(key=lambda line: (line.at_s, line.position))
    return Story(chosen, skipped)
