import json
from datetime import datetime
from io import StringIO

import pytest
from loguru import logger

from gooseberryyoke_daemon.logs import configure_logs, log_event


@pytest.fixture
def lines():
    stream = StringIO()
    configure_logs("info", stream, process="entry-1")
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    logger.remove()


def test_events_are_flat_json_lines(lines):
    log_event("dispatch", request="7-1", attempt=2, server="draw-3")
    (line,) = lines()
    assert datetime.fromisoformat(line.pop("time")).utcoffset().total_seconds() == 0
    assert line == {
        "level": "info",
        "event": "dispatch",
        "process": "entry-1",
        "request": "7-1",
        "attempt": 2,
        "server": "draw-3",
    }


def test_braces_and_line_breaks_of_peers_stay_within_the_line(lines):
    log_event("refused {request}", path="/x\n{}", time="noon", why=ValueError("odd"))
    (line,) = lines()
    assert line["event"] == "refused {request}"
    assert (line["path"], line["field_time"], line["why"]) == ("/x\n{}", "noon", "odd")


def test_events_below_the_level_are_left_out(lines):
    log_event("detail", level="debug")
    log_event("trouble", level="warning")
    assert [line["event"] for line in lines()] == ["trouble"]


def test_a_traceback_shows_no_values_of_variables(lines):
    secret = "bearer-key-of-a-caller"
    try:
        raise RuntimeError("broken") if secret else None
    except RuntimeError as exc:
        logger.opt(exception=exc).error("request {} failed", "7-1")
    (line,) = lines()
    assert line["event"] == "request 7-1 failed"
    assert "RuntimeError: broken" in line["traceback"]
    assert secret not in line["traceback"]
