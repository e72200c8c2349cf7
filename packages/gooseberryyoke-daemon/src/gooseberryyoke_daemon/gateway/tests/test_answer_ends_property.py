"""Answers that break off anywhere, at one server or at several in turn."""

import re

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings, strategies as st

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.testing.drawn_answers import (
    LAST_EVENT,
    AnswerKind,
    Ending,
    Script,
    normalize,
    serve_script,
)
from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.testing.routed import GATEWAY, run_routed, sample_table
from gooseberryyoke_daemon.wire.framing import Framing
from gooseberryyoke_daemon.wire.message import VERDICT_HEADER, find_header

EXAMPLES = 400
PHASES = (Phase.explicit, Phase.generate)
"""Shrinking takes minutes; what is drawn is short enough to be read."""
TIME_S = 8.0
"""For an answer, more than two servers that fall silent and a pause take."""
PAUSE_S = 3.0
BIG_EVENT_BYTES = 30_000
"""A run of them is more than a connection holds for a caller that doesn't read."""
LEAST_EVENT_BYTES = 36
ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
RUN = re.compile(rb"^data: run (\d+) ", re.MULTILINE)
REFUSED = (429, 503)
PROBLEMS = (502, 503, 504)


class Caller(Record):
    """Who asks, and on which route."""

    __slots__ = ("path", "version", "pause_s", "after", "is_resumable")

    def __init__(
        self, path="/draw/x", version="1.1", pause_s=0.0, after=None, is_resumable=True
    ):
        self.path = path
        self.version = version
        self.pause_s = pause_s
        self.after = after
        self.is_resumable = is_resumable and path.startswith("/draw/")


CALLERS = st.builds(
    Caller,
    path=st.sampled_from(["/draw/x", "/draw/x", "/read/x", "/book/x"]),
    version=st.sampled_from(["1.1", "1.0"]),
    pause_s=st.sampled_from([0.0, PAUSE_S]),
    after=st.sampled_from([None, None, 0, 2, LAST_EVENT]),
    is_resumable=st.sampled_from([True, True, True, False]),
)
STREAM_CALLERS = st.builds(
    Caller,
    version=st.sampled_from(["1.1", "1.0"]),
    pause_s=st.sampled_from([0.0, PAUSE_S]),
    after=st.sampled_from([None, 0, 2]),
)
CUTS = st.one_of(
    st.none(),
    st.integers(min_value=-12, max_value=400),
    st.integers(min_value=0, max_value=LAST_EVENT * BIG_EVENT_BYTES),
)
SMALL_WRITES = {
    "padding": st.just(0),
    "piece_bytes": st.sampled_from([3, 24, 4096]),
    "chunk_bytes": st.sampled_from([5, 24, 4096]),
}
BIG_WRITES = {
    "padding": st.just(BIG_EVENT_BYTES),
    "piece_bytes": st.just(20_000),
    "chunk_bytes": st.sampled_from([9_000, 200_000]),
}


STREAMS = [AnswerKind.RESUMES, AnswerKind.RESTARTS]
CONTINUATIONS = [AnswerKind.RESUMES, AnswerKind.RESUMES, AnswerKind.RESTARTS]
BLOCKS = [*[None] * (LAST_EVENT + 2), *range(LAST_EVENT + 2)]
"""Breaks between events, which drawn positions seldom meet, in half of the answers."""
MOSTLY_FIN = [Ending.FIN, Ending.FIN, Ending.RESET, Ending.SILENCE]


def weighted(*strategies):
    """Choose among strategies, of which some are given more than once."""
    numbers = st.integers(min_value=0, max_value=len(strategies) - 1)
    return numbers.flatmap(strategies.__getitem__)


def scripts(
    kinds=tuple(AnswerKind),
    statuses=(200, 200, 500),
    cuts=CUTS,
    endings=tuple(Ending),
    **writes,
):
    return st.builds(
        Script,
        kind=st.sampled_from(kinds),
        framing=st.sampled_from(Framing),
        status=st.sampled_from(statuses),
        line_end=st.sampled_from([b"\n", b"\r\n", b"\r"]),
        has_preamble=st.booleans(),
        cut=cuts,
        blocks=st.sampled_from(BLOCKS),
        ending=st.sampled_from(endings),
        **writes,
    )


def any_servers(writes):
    three = [scripts(**writes)] * 3
    return st.tuples(CALLERS, st.one_of(st.tuples(*three), st.tuples(*three[:2])))


def broken_streams(writes, event_bytes):
    """Give a first server that breaks off a stream, mostly within its events."""
    within = st.integers(min_value=-LAST_EVENT * event_bytes, max_value=-1)
    at_end = st.integers(min_value=-8, max_value=-1)
    first = scripts(STREAMS, [200], weighted(within, at_end), **writes)
    cuts = weighted(st.none(), st.none(), CUTS)
    second = weighted(
        scripts(CONTINUATIONS, [200], cuts, MOSTLY_FIN, **writes),
        scripts(CONTINUATIONS, [200], cuts, MOSTLY_FIN, **writes),
        scripts(**writes),
    )
    return st.tuples(
        STREAM_CALLERS,
        weighted(
            st.tuples(first, second),
            st.tuples(first, second),
            st.tuples(first, second, scripts(**writes)),
        ),
    )


CASES = weighted(
    any_servers(SMALL_WRITES),
    any_servers(BIG_WRITES),
    *[broken_streams(SMALL_WRITES, LEAST_EVENT_BYTES)] * 4,
    broken_streams(BIG_WRITES, BIG_EVENT_BYTES),
)


def ask(scripts, caller):
    """Give a caller's answer, and what was asked of the servers."""
    answers, asked = [], []

    async def main(session):
        for number, script in enumerate(scripts):
            handler = serve_script(number, script, asked)
            await session.add(f"i-{number}", None, handler=handler)
            session.servers.of_service("s")[number].load.own = number
        network = session.network.host("10.9.0.1")
        after = caller.after
        headers = [] if after is None else [("last-event-id", str(after))]
        request = session.request(caller.path, headers=headers)
        answers.append(
            await ask_raw(network, GATEWAY, request, caller.version, caller.pause_s)
        )

    run_routed(
        main,
        sample_table(
            max_attempts=3, is_resumable=caller.is_resumable, timeout_s=TIME_S
        ),
    )
    return answers[0], asked


def ids_in_order(answer, asked):
    """Check that the events are of one stream; give the id of the last one."""
    *blocks, rest = normalize(answer.body).split(b"\n\n")
    assert answer.end is AnswerEnd.CUT or not rest.strip()
    runs = {attempt.number: attempt for attempt in asked}
    last_id, last_run = None, None
    for block in blocks:
        found = ID.search(block)
        if found is None:
            assert block.strip() == b"retry: 1000"
            continue
        id, run = int(found[1]), int(RUN.search(block)[1])
        assert block.lstrip(b"\n") + b"\n\n" == normalize(runs[run].event(id))
        if run != last_run:
            assert id == runs[run].first
            assert last_run is None or run in following(asked, last_run)
        assert last_id is None or id == last_id + 1
        last_id, last_run = id, run
    return last_id


def following(asked, run):
    """Give the servers that were asked after one of them."""
    numbers = [attempt.number for attempt in asked]
    return numbers[numbers.index(run) + 1 :]


def begun_before(asked):
    """Give the first server whose blocks were passed on before the last one's."""
    return next((attempt for attempt in asked[:-1] if attempt.begins_stream), None)


def begins_anew(asked):
    """Tell whether nothing but preambles was passed on before the last server's."""
    return not any(ID.search(passed_blocks(attempt)) for attempt in asked[:-1])


def passed_blocks(attempt):
    """Give the whole blocks that were sent of a stream."""
    if not attempt.begins_stream:
        return b""
    whole, end, _ = normalize(attempt.sent_body).rpartition(b"\n\n")
    return whole + end


def preambles_before(asked):
    """Give what was passed on of the servers before the last one, without events."""
    return b"".join(passed_blocks(attempt) for attempt in asked[:-1])


def check_all_arrived(answer, asked, caller):
    """Check that nothing of a stream is missing that its last server has sent."""
    last = asked[-1]
    last_id = ids_in_order(answer, asked)
    if begun_before(asked) is None:
        assert answer.body == last.sent_body
        return
    assert answer.body.endswith(last.sent_body)
    if begins_anew(asked):
        assert last.after == caller.after
        sent = preambles_before(asked) + normalize(last.sent_body)
        assert normalize(answer.body) == sent
        return
    assert last.first == last.after + 1
    assert last_id == LAST_EVENT or not last.tells_end


def is_stream(answer):
    kind = find_header(answer.headers, "content-type", "")
    return answer.status == 200 and kind == "text/event-stream"


def check_problem(answer, asked):
    assert answer.status in PROBLEMS
    assert answer.end is AnswerEnd.WHOLE
    if answer.status in REFUSED:
        assert all(attempt.script.kind is AnswerKind.REFUSAL for attempt in asked)


def check_plain(answer, asked):
    last = asked[-1]
    assert (answer.status, answer.body) == (last.status, last.sent_body)
    if answer.end is AnswerEnd.WHOLE:
        assert last.tells_end
    else:
        assert answer.end is AnswerEnd.CLOSED
        assert last.ends_quietly


def check_stream(answer, asked, caller):
    ids_in_order(answer, asked)
    last = asked[-1]
    assert caller.is_resumable or begun_before(asked) is None
    if answer.end is AnswerEnd.CUT:
        return
    assert last.status == 200 and last.script.is_stream
    assert last.tells_end or last.ends_quietly
    assert last.tells_end or answer.end is AnswerEnd.CLOSED
    check_all_arrived(answer, asked, caller)


def expected_end(asked, caller):
    """Tell how an answer has to end that its last server gave whole; None for any."""
    last = asked[-1]
    if not last.is_whole or last.status == 503:
        return None
    if (first := begun_before(asked)) is not None:
        return expected_end_of_continuation(asked, first, caller)
    if last.status == 200 and last.script.is_stream:
        if not (last.begins_stream or is_answer_to_rest(last, caller)):
            # Nothing was passed on, so that another server is asked for the events.
            return None
        return end_towards(caller, last)
    return AnswerEnd.WHOLE if last.script.framing.tells_end else AnswerEnd.CLOSED


def is_answer_to_rest(last, caller):
    """Tell whether a stream may be empty: its caller may have all events already."""
    return caller.after is not None and last.tells_end


def expected_end_of_continuation(asked, first, caller):
    last = asked[-1]
    is_anew = begins_anew(asked)
    is_next = last.after is not None and last.first == last.after + 1
    if not (last.status == 200 and last.script.is_stream and (is_anew or is_next)):
        return None
    if is_anew and not (last.begins_stream or is_answer_to_rest(last, caller)):
        # Nothing but preambles was passed on, so that another server is asked.
        return None
    if not last.tells_end:
        # Chunks were begun for this caller, or nothing tells that there is no more.
        has_none = last.first > LAST_EVENT and not (is_anew and last.begins_stream)
        is_unknown = first.script.framing.tells_end or has_none
        return None if is_unknown else AnswerEnd.CLOSED
    return end_towards(caller, first)


def end_towards(caller, first):
    has_chunks = caller.version == "1.1" and first.script.framing.tells_end
    return AnswerEnd.WHOLE if has_chunks else AnswerEnd.CLOSED


def check_arrived(answer, asked, caller):
    end = expected_end(asked, caller)
    if end is None:
        return
    assert (answer.status, answer.end) == (asked[-1].status, end)
    if not is_stream(answer):
        assert answer.body == asked[-1].body


def check(answer, asked, caller):
    check_arrived(answer, asked, caller)
    if find_header(answer.headers, VERDICT_HEADER) is not None:
        check_problem(answer, asked)
    elif answer.status is None:
        assert answer.end is AnswerEnd.CUT
    elif is_stream(answer):
        check_stream(answer, asked, caller)
    else:
        check_plain(answer, asked)


BYTE_BY_BYTE = Script(AnswerKind.RESUMES, line_end=b"\r\n", chunk_bytes=1)
BROKEN = Script(AnswerKind.RESUMES, blocks=2)


@given(case=CASES)
@example(case=(Caller(), (BYTE_BY_BYTE, BYTE_BY_BYTE)))
@example(case=(Caller("/read/x"), (BROKEN, BYTE_BY_BYTE)))
@settings(
    derandomize=True,
    max_examples=EXAMPLES,
    phases=PHASES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
def test_an_answer_reaches_its_caller_as_what_it_is(case):
    """A part, or two runs joined, must not look whole, nor a whole answer cut."""
    caller, scripts = case
    answer, asked = ask(scripts, caller)
    check(answer, asked, caller)


@pytest.mark.parametrize("framing", Framing)
def test_a_stream_may_break_at_every_byte(framing):
    """Any byte may be the last one: of the head, a chunk's size, an event, its end."""
    second = Script(AnswerKind.RESUMES, line_end=b"\r\n")
    caller, cut, is_whole = Caller(), 0, False
    while not is_whole:
        first = Script(
            AnswerKind.RESUMES, framing, line_end=b"\r\n", cut=cut, chunk_bytes=24
        )
        answer, asked = ask([first, second], caller)
        check(answer, asked, caller)
        cut, is_whole = cut + 1, asked[0].is_sent_whole
    assert len(asked) == 1
