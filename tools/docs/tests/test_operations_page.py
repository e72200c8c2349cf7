"""The cases of the operations page, made again and compared with the page."""

import re
from pathlib import Path

import orjson
import pytest
import trio
from loguru import logger

from gooseberryyoke_client.story import read_lines, tell_story
from gooseberryyoke_daemon.logs import configure_logs, log_event
from gooseberryyoke_daemon.testing.routed import NAMES, run_routed, sample_table
from gooseberryyoke_daemon.wire import ExchangeBroken, Response

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
UNSTEADY = ("time", "level", "node", "detail", "request")


class Output:
    """A process's standard output."""

    def __init__(self):
        self.texts = []

    def write(self, text):
        self.texts.append(text)

    def flush(self):
        """Nothing is held back."""


def told(request, scenario, table=None):
    """Play a scenario; give what `explain` tells of a request, without its times."""
    output = Output()
    configure_logs(stream=output, node="gateway-1")
    try:
        run_routed(scenario, table)
    finally:
        logger.remove()
    lines, skipped = read_lines(["not a log line", *output.texts])
    assert skipped == 1
    story = tell_story(request, lines)
    return "\n".join(_line(line.fields) for line in story.lines)


def _line(fields):
    rest = [
        f"{name}={_steady(name, value)}"
        for name, value in fields.items()
        if name not in (*UNSTEADY, "event")
    ]
    return " ".join([fields["event"], *rest])


def _steady(name, value):
    if name.endswith("_ms") and name != "born_ms" and value is not None:
        return round(value, -2)
    return value


async def _overloaded(session):
    async def slow(request):
        await trio.sleep(5.0)
        return Response(200, [], b"late")

    await session.add("i-1", slow, slots=2)
    async with trio.open_nursery() as nursery:
        for number in range(2):
            nursery.start_soon(_ask, session, "/draw/x", f"first-{number}")
        await trio.sleep(0.1)
        for number in range(3):
            nursery.start_soon(_ask, session, "/draw/x", f"next-{number}")
        await trio.sleep(1.0)
        reply = await session.ask("/draw/x", attempt="a1")
        assert reply.status == 503


async def _broken(session):
    async def breaks(request):
        async def events():
            yield b"id: 1\ndata: x\n\n"
            await trio.sleep(0.2)
            raise ConnectionError("the engine crashes")

        return Response(200, [("content-type", "text/event-stream")], events())

    await session.add("i-1", breaks)
    with pytest.raises(ExchangeBroken):
        await session.ask("/draw/x", attempt="a2")


async def _paused(session):
    async def asks(request):
        headers = [(NAMES.not_run, "1"), ("retry-after", "9")]
        return Response(503, headers, b"")

    await session.add("i-1", asks)
    await session.ask("/read/x", attempt="a0")
    await trio.sleep(7.0)
    assert (await session.ask("/read/x", attempt="a4")).status == 503


async def _older_table(session):
    log_event("replicas-lost", level="warning", held_version=1, why="no majority")
    await trio.sleep(0.2)
    reply = await session.ask("/new/x", attempt="a3")
    assert reply.status == 404
    log_event("table-installed", version=2, routes=4, read_ms=10)


async def _ask(session, path, attempt):
    await session.ask(path, attempt=attempt)


@pytest.mark.parametrize(
    ("request_id", "scenario", "changes"),
    [
        ("a1", _overloaded, {"target_s": 0.4}),
        ("a2", _broken, {"max_attempts": 2}),
        ("a3", _older_table, {}),
        ("a4", _paused, {}),
    ],
)
def test_the_page_shows_what_the_program_logs(request_id, scenario, changes):
    story = told(request_id, scenario, sample_table(**changes))
    assert story
    assert f"```\n{story}\n```" in PAGE.read_text("utf-8")


def test_each_event_and_reason_that_the_page_explains_stands_in_the_code():
    code = "".join(
        path.read_text("utf-8")
        for folder in ("packages", "platform")
        for path in (PAGE.parents[1] / folder).rglob("*.py")
        if "tests" not in path.parts
    )
    words = set(PAGE.read_text("utf-8").split("`"))
    explained = {word for word in words if re.fullmatch("[a-z]+(-[a-z]+)+", word)}
    assert len(explained) > 15
    assert [word for word in sorted(explained) if f'"{word}"' not in code] == []


def test_a_log_line_without_a_time_is_skipped():
    lines, skipped = read_lines(['{"event": "x"}', "", orjson.dumps([]).decode()])
    assert (lines, skipped) == ([], 2)


def test_headers_of_the_sample_are_the_product_s_own():
    assert NAMES.attempt_id.startswith("gooseberryyoke-")
