import pytest
import trio
from trio.testing import MockClock

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.stream import AbortFrame, EndFrame, HeadFrame
from gooseberryyoke_daemon.agent.attempt import Attempt, AttemptOrder
from gooseberryyoke_daemon.agent.runner import Runner
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.wire import Address, HttpClient
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.1.0.1", 80)
ANSWER_BYTES = 4000
EVENTS = b"id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
PART = b"id: 3\ndata: x"
NONE = b""
STREAM = b"content-type: text/event-stream\r\n"


def sized(body):
    return b"content-length: %d\r\n" % len(body)


def run_attempt(answer, resets=False):
    """Give the frames of an attempt whose server answers with these bytes."""

    async def serve(stream):
        async with stream:
            if not await receive_request(stream):
                return
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + answer)
            if resets:
                await trio.sleep(0.01)
                stream.reset()

    async def main():
        network = MemoryNetwork()
        listeners = await network.host(SERVER.host).listen(SERVER)
        client = HttpClient(network.host("10.1.0.2"))
        hear = lambda report, attempt: None  # noqa: E731
        runner = Runner(client, SERVER, 5.0, ANSWER_BYTES, hear, HeaderNames())
        order = AttemptOrder("a", "e1", 1, 0.0, 1, True, 5.0, "GET", "/", [], b"")
        attempt = Attempt(order, 0.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            await runner.run(attempt)
            nursery.cancel_scope.cancel()
        return attempt.log.frames_from(0)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def body_of(frames):
    return b"".join(frame.data for frame in frames[1:-1])


@pytest.mark.parametrize("kind", [NONE, STREAM], ids=["plain", "events"])
@pytest.mark.parametrize("body", [b"", EVENTS], ids=["empty", "filled"])
def test_an_end_that_only_the_connection_tells_is_marked_in_the_head(kind, body):
    """An entry that is not told gives the answer a length or a last chunk."""
    head, *rest = run_attempt(kind + b"\r\n" + body)
    assert head.until_close
    assert body_of([head, *rest]) == body
    assert isinstance(rest[-1], EndFrame)


@pytest.mark.parametrize(
    "body", [b"", EVENTS, EVENTS + PART], ids=["empty", "filled", "ends within"]
)
@pytest.mark.parametrize("kind", [NONE, STREAM], ids=["plain", "events"])
def test_an_end_that_the_server_tells_is_one(kind, body):
    """What its server calls whole is passed on, also if it ends within an event."""
    head, *rest = run_attempt(kind + sized(body) + b"\r\n" + body)
    assert head == HeadFrame("a", 200, head.headers)
    assert body_of([head, *rest]) == body
    assert isinstance(rest[-1], EndFrame)


@pytest.mark.parametrize(
    "kind",
    [STREAM, b"Content-Type: Text/Event-Stream ;a=b\r\n"],
    ids=["plain", "capitals and parameter"],
)
def test_a_stream_that_ends_within_an_event_was_broken_off(kind):
    """Taken for the end, the caller would miss events and not know it."""
    frames = run_attempt(kind + b"\r\n" + EVENTS + PART)
    assert body_of(frames) == EVENTS + PART
    assert isinstance(frames[-1], AbortFrame)
    assert frames[-1].verdict is Verdict.MAY_HAVE_RUN
    assert frames[-1].reason == "server-cut"


def test_a_long_event_is_no_fault():
    """Looking for the end of events must not bound their length."""
    event = b"data: " + b"x" * (ANSWER_BYTES - 100) + b"\n\n"
    assert isinstance(run_attempt(STREAM + b"\r\n" + event)[-1], EndFrame)


@pytest.mark.parametrize("kind", [NONE, STREAM], ids=["plain", "events"])
def test_a_reset_is_no_end(kind):
    """A reset in the place of the end tells that the answer is not whole."""
    frames = run_attempt(kind + b"\r\n" + EVENTS, resets=True)
    assert isinstance(frames[-1], AbortFrame)
    assert frames[-1].verdict is Verdict.MAY_HAVE_RUN
