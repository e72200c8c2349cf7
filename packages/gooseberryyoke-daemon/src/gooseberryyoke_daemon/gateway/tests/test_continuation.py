import pytest

from gooseberryyoke.stream.events import EventSplitter
from gooseberryyoke_daemon.gateway.continuation import Continuation, NotContinued

COMMENTS = b": here\n\nretry: 100\n\n\n\n"
DATA = b"data: x\n\n"


def split(data):
    return EventSplitter().feed(data)


def event(id):
    return b"id: %b\ndata: x\n\n" % id.encode()


def after(*ids, rest=b""):
    """Give what was passed on of a first server, at whose end a second one answers."""
    continuation = Continuation()
    continuation.admit(split(b"".join(map(event, ids)) + rest))
    continuation.begin_answer()
    return continuation


def admits(continuation, data):
    return b"".join(event.data for event in continuation.admit(split(data)))


FOLLOWING = [
    (["1"], "2"),
    (["7", "8", "9"], "10"),
    (["007", "8"], "9"),
    (["1", "5"], "6"),
    (["1", "5"], "99"),
    (["a", "b"], "c"),
    (["a", "2"], "3"),
    (["1", "9" * 18], "1" + "0" * 18),
    (["1" * 5000], "2" * 5000),
]
NOT_FOLLOWING = [
    (["1"], "1"),
    (["1"], "3"),
    (["1", "2", "3"], "5"),
    (["1", "2", "3"], "3"),
    (["1", "2", "3"], "1"),
    (["1", "2", "3"], "a"),
    (["1", "5"], "5"),
    (["1", "5"], "4"),
    (["20", "9"], "20"),
    (["a", "b"], "a"),
    (["a", "b"], "b"),
    (["1" * 5000], "1" * 5000),
]


@pytest.mark.parametrize(("ids", "next_id"), FOLLOWING)
def test_what_follows_goes_on(ids, next_id):
    """A stream that could go on would be cut."""
    assert admits(after(*ids), event(next_id)) == event(next_id)


@pytest.mark.parametrize(("ids", "next_id"), NOT_FOLLOWING)
def test_what_does_not_follow_is_refused(ids, next_id):
    """Events would be missing, or come twice, in a stream that looks whole."""
    with pytest.raises(NotContinued):
        after(*ids).admit(split(event(next_id)))


def test_only_the_first_id_of_an_answer_is_compared():
    """What one server gives in one answer is its own, gaps and all."""
    assert admits(after("1", "2"), event("3") + event("9")) == event("3") + event("9")


def test_events_without_id_wait_for_the_first_one_with_an_id():
    """They might be of a run that begins anew."""
    continuation = after("1", "2")
    assert admits(continuation, DATA) == b""
    assert admits(continuation, COMMENTS) == b""
    assert continuation.holds_events and continuation.is_awaited
    assert admits(continuation, event("3")) == DATA + COMMENTS + event("3")
    assert not continuation.holds_events and not continuation.is_awaited


def test_events_held_back_of_a_server_that_failed_are_dropped():
    continuation = after("1", "2")
    continuation.admit(split(DATA))
    continuation.begin_answer()
    assert admits(continuation, event("3")) == event("3")


def test_comments_pass_before_the_first_id():
    """A server that only sends comments while it prepares must keep its caller."""
    continuation = after("1", "2")
    assert admits(continuation, COMMENTS) == COMMENTS
    assert continuation.is_awaited and not continuation.holds_events
    assert continuation.may_resume
    with pytest.raises(NotContinued):
        continuation.admit(split(event("1")))


def test_what_is_held_back_is_bounded():
    """A server that never gives an id would fill the memory."""
    continuation = after("1", "2")
    with pytest.raises(NotContinued):
        for _ in range(100):
            continuation.admit(split(b"data: %b\n\n" % bytes(1000)))


@pytest.mark.parametrize(
    "rest", [DATA, b"event: x\n\n", b"id:\ndata: x\n\n", b"id:\n\n"]
)
def test_a_stream_is_not_resumed_after_what_has_no_id(rest):
    """The next server would give it once more, or begin anew."""
    assert not after("1", "2", rest=rest).may_resume
    assert after("1", "2", rest=rest + event("3")).may_resume
    assert after("1", "2", rest=COMMENTS).may_resume


def test_an_empty_id_is_none_of_a_continuation():
    """It would let a stream begun anew through."""
    continuation = after("1", "2")
    assert admits(continuation, b"id:\ndata: x\n\n") == b""
    with pytest.raises(NotContinued):
        continuation.admit(split(event("1")))


def test_a_stream_of_comments_may_begin_anew():
    continuation = after(rest=COMMENTS)
    assert continuation.may_begin_anew and continuation.may_resume
    assert admits(continuation, DATA + event("5")) == DATA + event("5")
    assert not continuation.may_begin_anew


def test_a_stream_without_ids_does_not_begin_anew():
    """Its events would come twice."""
    continuation = after(rest=DATA)
    assert not continuation.may_begin_anew and not continuation.may_resume
