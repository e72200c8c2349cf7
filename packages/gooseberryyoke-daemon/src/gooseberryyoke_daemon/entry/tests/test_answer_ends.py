import pytest
from trio import open_nursery, sleep

from gooseberryyoke_daemon.testing import run_session
from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.testing.session import chat
from gooseberryyoke_daemon.wire import Address, BodyCut, Response, json_response

LOOK = "/v1/services/meet-app/x"
CONFIRM = "/v1/services/meet-app/confirm"
PLAIN = (("content-type", "text/plain"),)
EVENTS = (("content-type", "text/event-stream"),)
LOAD = {"batch_slots": 8, "step_ms": 10, "leaving": False}
PART = b"id: 4\ndata: x"
STEP_S = 0.2


def events(last):
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, last + 1))


async def pieces(body, is_cut):
    """Give a body line by line; a cut resets the connection at its end."""
    for line in body.splitlines(keepends=True):
        await sleep(STEP_S)
        yield line
    if is_cut:
        raise BodyCut


def answer(body, kind=EVENTS, unframed=False, is_cut=False):
    """Make a whole or broken answer anew for each call."""
    return lambda: Response(200, kind, pieces(body, is_cut), unframed)


async def start(session, *answers):
    """Start servers that give these answers, whichever of them is asked."""
    left, called = list(answers), []

    async def handle(request):
        if request.path == "/load":
            return json_response(200, LOAD)
        called.append(request.path)
        return left.pop(0)()

    await session.start(entries=4)
    for number in range(1, 4):
        host = f"10.0.1.{number}"
        await session.server(f"llm{number}", host, "draw-llm", ["heat-draw"], handle)
    await session.server("app1", "10.0.2.1", "meet-app", [], handle)
    await sleep(1.2)
    return called


async def ask(session, method, target, payload=None, entry=1, **headers):
    request = session.request(method, target, payload, host="entry", **headers)
    network = session.network.host("caller")
    return await ask_raw(network, Address(f"10.0.0.{entry}", 8000), request)


async def ask_stream(session):
    payload = chat("seed the heats", stream=True)
    return await ask(session, "POST", "/v1/chat/completions", payload)


def stream(*answers):
    """Give what a caller of a stream gets."""
    got = []

    async def body(session):
        await start(session, *answers)
        got.append(await ask_stream(session))

    run_session(body)
    return got[0]


def test_a_whole_answer_without_framing_gets_none():
    """A length would claim what nobody knows; refused, whole answers would be lost."""

    async def body(session):
        await start(session, answer(b"some", PLAIN, unframed=True))
        got = await ask(session, "GET", LOOK)
        assert (got.status, got.body, got.end) == (200, b"some", AnswerEnd.CLOSED)

    run_session(body)


def test_a_stream_without_framing_gets_none():
    """A last chunk would claim what nobody knows."""
    got = stream(answer(events(3), unframed=True))
    assert (got.body, got.end) == (events(3), AnswerEnd.CLOSED)


def test_a_stream_whose_end_is_told_passes_as_it_came():
    """A last chunk says that all has come, within an event too."""
    got = stream(answer(events(3) + PART))
    assert (got.body, got.end) == (events(3) + PART, AnswerEnd.WHOLE)


def test_a_stream_that_ends_within_an_event_is_cut():
    """The caller would take the end of its connection for the end of the events."""
    got = stream(*[answer(events(3) + PART, unframed=True)] * 3)
    assert got.body.startswith(events(3))
    assert got.end is AnswerEnd.CUT


def test_no_event_tells_of_a_cut_within_an_event():
    """Written behind a part of an event, it is read as the rest of that event."""
    got = stream(*[answer(events(3) + PART, is_cut=True)] * 3)
    assert (got.body, got.end) == (events(3) + PART, AnswerEnd.CUT)


@pytest.mark.parametrize("kind", ["text/event-stream", "Text/Event-Stream ;a=b"])
def test_an_event_tells_of_a_cut_between_two_events(kind):
    """Callers that read events only see a connection that ends, and not why."""
    got = stream(*[answer(events(3), [("content-type", kind)], is_cut=True)] * 3)
    assert got.body.startswith(events(3) + b"event: error\ndata: {")
    assert got.end is AnswerEnd.CUT


def test_another_server_goes_on_where_a_stream_ended_within_an_event():
    """An attempt that was broken off is not the answer while others may be made."""
    got = stream(answer(events(3) + PART, unframed=True), answer(events(6)))
    assert (got.body, got.end) == (events(6), AnswerEnd.CLOSED)


def test_a_second_answer_without_framing_does_not_make_a_stream_whole():
    """Chunks were begun for this caller; the last one would claim what nobody knows."""
    first, others = answer(events(3), is_cut=True), answer(events(6), unframed=True)
    got = stream(first, others, others)
    assert got.body.startswith(events(6))
    assert got.end is AnswerEnd.CUT


def test_a_third_answer_with_framing_makes_a_stream_whole():
    """The caller has all, but only the third server says so."""
    first, second = answer(events(3), is_cut=True), answer(events(6), unframed=True)
    got = stream(first, second, answer(events(6)))
    assert (got.body, got.end) == (events(6), AnswerEnd.WHOLE)


def test_reading_that_is_resumed_keeps_how_the_end_is_told():
    """The head came on a connection that went silent; the end comes on another."""

    async def body(session):
        called = await start(session, answer(events(6), unframed=True))
        async with open_nursery() as nursery:
            nursery.start_soon(silence_soon, session)
            got = await ask_stream(session)
        assert (got.body, got.end) == (events(6), AnswerEnd.CLOSED)
        assert len(called) == 1

    async def silence_soon(session):
        await sleep(3 * STEP_S)
        for number in range(1, 4):
            session.network.silence("10.0.0.1", f"10.0.1.{number}")

    run_session(body)


@pytest.mark.parametrize(
    "first",
    [
        answer(events(3) + PART, EVENTS, unframed=True),
        answer(b"some", PLAIN, unframed=True, is_cut=True),
    ],
    ids=["end within an event", "reset"],
)
def test_an_answer_that_was_broken_off_may_have_run(first):
    """It is neither passed on nor kept, and what may not be repeated stays undone."""

    async def body(session):
        called = await start(session, first)
        for status in (502, 409):
            got = await confirm(session)
            assert (got.status, got.end) == (status, AnswerEnd.WHOLE)
            assert dict(got.headers)["gooseberryyoke-verdict"] == "may-have-run"
        assert len(called) == 1

    run_session(body)


async def confirm(session, entry=1):
    payload = {"id": "swimmer-1"}
    return await ask(session, "POST", CONFIRM, payload, entry, idempotency_key="key-1")


def test_a_kept_answer_without_framing_gets_none():
    """Given again with a length, it would look whole where nobody knows."""

    async def body(session):
        called = await start(session, answer(b"some", PLAIN, unframed=True))
        for entry in (1, 3):
            got = await confirm(session, entry)
            assert (got.status, got.body, got.end) == (200, b"some", AnswerEnd.CLOSED)
        assert len(called) == 1

    run_session(body)


def test_an_answer_without_framing_that_another_entry_fetches_gets_none():
    """Its entry died; the one that is asked again has the answer from the agent."""

    async def body(session):
        called = await start(session, answer(b"some", PLAIN, unframed=True))
        async with open_nursery() as nursery:
            nursery.start_soon(confirm, session, 4)
            await sleep(STEP_S / 2)
            session.kill("e4")
            nursery.cancel_scope.cancel()
        got = await confirm(session)
        assert (got.status, got.body, got.end) == (200, b"some", AnswerEnd.CLOSED)
        assert len(called) == 1

    run_session(body)
