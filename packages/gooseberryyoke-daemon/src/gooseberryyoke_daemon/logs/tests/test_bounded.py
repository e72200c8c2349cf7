import os

import orjson
from loguru import logger

from gooseberryyoke_daemon.logs import (
    LineBudget,
    PipeWriter,
    configure_logs,
    log_event,
)


def test_an_event_that_floods_leaves_the_others_their_lines():
    budget = LineBudget(lines=3)
    flood = [budget.admit("answered", 10.1) for _ in range(100)]
    assert flood.count(True) == 3
    assert budget.admit("refused", 10.2)
    assert budget.admit("answered", 11.0)


def test_what_was_left_out_is_told_once_the_second_is_over():
    budget = LineBudget(lines=1)
    for _ in range(5):
        budget.admit("answered", 10.1)
    assert budget.take_left_out(10.9) == {}
    assert budget.take_left_out(11.0) == {"answered": 4}
    assert budget.take_left_out(11.0) == {}


def test_a_reader_that_does_not_read_stops_no_writer():
    # The process that collects standard output hangs. A blocking write would stop
    # this process at the line that fills the pipe, and all its requests with it.
    reader, fd = os.pipe()
    try:
        writer = PipeWriter(fd)
        for _ in range(5000):
            writer.write("x" * 200 + "\n")
        assert writer.dropped > 0
    finally:
        os.close(reader)
        os.close(fd)


def test_lines_come_whole_and_in_order_once_they_are_read():
    reader, fd = os.pipe()
    try:
        writer = PipeWriter(fd)
        for number in range(1000):
            writer.write(f"{number:0100d}\n")
        data = b""
        while len(data) < 101 * 1000:
            data += os.read(reader, 65536)
            writer.flush()
        assert [int(line) for line in data.split()] == list(range(1000))
    finally:
        os.close(reader)
        os.close(fd)


def test_a_reader_that_has_gone_stops_no_writer():
    reader, fd = os.pipe()
    os.close(reader)
    writer = PipeWriter(fd)
    writer.write("line\n")
    writer.write("line\n")
    os.close(fd)


class Output:
    """Keeps what is written."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines.append(orjson.loads(text))

    def flush(self):
        """Nothing is held back."""


def test_the_log_tells_how_many_lines_were_left_out():
    output, budget = Output(), LineBudget(lines=2)
    configure_logs(stream=output, budget=budget, node="e-1")
    try:
        for number in range(6):
            log_event("answered", number=number)
        budget._second -= 1
        log_event("refused")
    finally:
        logger.remove()
    events = [line["event"] for line in output.lines]
    assert events == ["answered", "answered", "lines-left-out", "refused"]
    assert output.lines[2]["lines"] == {"answered": 4}
    assert output.lines[2]["node"] == "e-1"
