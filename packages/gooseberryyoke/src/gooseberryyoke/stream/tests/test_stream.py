from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.stream import (
    AbortFrame,
    Assembler,
    DataFrame,
    EndFrame,
    FrameError,
    FrameLog,
    HeadFrame,
    HeartbeatFrame,
    StreamBroken,
    decode_frame,
    encode_frame,
)


def written(attempt, pieces):
    log = FrameLog(attempt)
    log.head(200, [("content-type", "text/plain")])
    for piece in pieces:
        log.data(piece)
    log.end()
    return log


@pytest.mark.parametrize(
    "frame",
    [
        HeadFrame("a", 200, [("x", "y")]),
        DataFrame("a", 3, b"text"),
        DataFrame("a", 3, b"\xff\x00"),
        EndFrame("a", 4, "00"),
        AbortFrame("a", Verdict.MAY_HAVE_RUN, "cut", "the server hung up"),
        HeartbeatFrame("a"),
    ],
)
def test_frame_survives_its_line(frame):
    assert decode_frame(encode_frame(frame)) == frame


@pytest.mark.parametrize("line", [b"", b"[]", b'{"k":"data"}', b'{"k":"x","a":"b"}'])
def test_other_lines_are_refused(line):
    with pytest.raises(FrameError):
        decode_frame(line)


def test_frames_of_another_attempt_never_reach_the_answer():
    """
    The caller sees its own answer only.

    A late frame of an earlier attempt arrives on the connection of the present
    one. Its attempt number differs, so it is dropped and counted.
    """
    answer = Assembler("new")
    assert answer.accept(HeadFrame("old", 200, [])) == b""
    answer.accept(HeadFrame("new", 200, []))
    assert answer.accept(DataFrame("old", 1, b"other")) == b""
    assert answer.accept(DataFrame("new", 1, b"own")) == b"own"
    assert answer.dropped == 2


def test_answer_without_its_end_is_not_whole():
    """
    The caller is never given a truncated answer as a whole one.

    The connection ends after the last data frame but before the end frame;
    then an end comes that counts one frame more than has arrived.
    """
    answer = Assembler("a")
    for frame in written("a", [b"1", b"2"]).frames_from(0)[:2]:
        answer.accept(frame)
    assert not answer.whole
    with pytest.raises(StreamBroken, match="count"):
        answer.accept(written("a", [b"1", b"2"]).last)


def test_gap_is_refused():
    answer = Assembler("a")
    answer.accept(HeadFrame("a", 200, []))
    with pytest.raises(StreamBroken, match="gap"):
        answer.accept(DataFrame("a", 2, b"x"))


def test_changed_byte_is_refused():
    answer = Assembler("a")
    log = written("a", [b"abc"])
    answer.accept(log.frames_from(0)[0])
    answer.accept(DataFrame("a", 1, b"abd"))
    with pytest.raises(StreamBroken, match="digest"):
        answer.accept(log.last)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=8), max_size=8), st.integers(0, 2**32))
def test_resumed_reader_gets_each_byte_once(pieces, seed):
    """
    The caller sees each byte once, however often the connection breaks.

    The reader resumes from a number at or before what it lacks; repeats are
    dropped by their sequence numbers.
    """
    log, rng = written("a", pieces), Random(seed)
    answer, got = Assembler("a"), b""
    while not answer.whole:
        back = rng.randint(0, answer.next_sequence)
        frames = log.frames_from(back)
        for frame in frames[: rng.randint(1, len(frames))]:
            got += answer.accept(frame)
    assert got == b"".join(pieces)


def test_an_end_that_only_a_connection_tells_reaches_the_reader():
    """An entry that is not told frames the answer as whole for its caller."""
    log = FrameLog("a")
    log.head(200, [("x", "y")], until_close=True)
    (head,) = map(decode_frame, map(encode_frame, log.frames_from(0)))
    assert head == HeadFrame("a", 200, [("x", "y")], until_close=True)
    assert head != HeadFrame("a", 200, [("x", "y")])


@pytest.mark.parametrize(
    ("field", "expected"),
    [(b"", False), (b',"until_close":false', False), (b',"until_close":true', True)],
    ids=["of an earlier release", "told", "not told"],
)
def test_heads_of_each_release_are_read(field, expected):
    """Agents and entries are replaced one by one; each reads the other's heads."""
    line = b'{"a":"a","k":"head","status":200,"headers":[],"later":1%b}' % field
    assert decode_frame(line).until_close is expected


def test_the_head_of_an_answer_whose_end_is_told_has_not_changed():
    """An earlier release reads it as before."""
    line = b'{"a":"a","k":"head","status":200,"headers":[]}\n'
    assert encode_frame(HeadFrame("a", 200, [])) == line
