import pytest
import trio

from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.testing.routed import (
    GATEWAY,
    NAMES,
    run_routed,
    sample_table,
)
from gooseberryyoke_daemon.wire.message import find_header

TYPE = b"text/event-stream"
FIN, RESET = "fin", "reset"
PART = b"id: 4\ndata: x"
THREE_ATTEMPTS = sample_table(max_attempts=3)


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def events(first, last):
    return b"".join(map(event, range(first, last + 1)))


def head(status=200, kind=TYPE, framing=b""):
    lines = [b"HTTP/1.1 %d X" % status, b"%b: sig" % NAMES.signature.encode()]
    if kind is not None:
        lines.append(b"content-type: " + kind)
    return b"\r\n".join([*lines, *([framing] if framing else []), b"", b""])


def chunked(body, kind=TYPE, last=True, status=200):
    data = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    begin = head(status, kind, b"transfer-encoding: chunked")
    return begin + data + (b"0\r\n\r\n" if last else b"")


def sized(body, kind=TYPE, status=200):
    return head(status, kind, b"content-length: %d" % len(body)) + body


def unframed(body, kind=TYPE, status=200):
    return head(status, kind) + body


def says(data, end=FIN):
    """Make a server that sends bytes and then ends its connection."""

    async def handler(stream):
        async with stream:
            if not await receive_request(stream):
                return
            await stream.send_all(data)
            if end == RESET:
                await trio.sleep(0.01)
                stream.reset()

    return handler


def ask(*servers, path="/draw/x", version="1.1", table=None, method="POST"):
    """Give what a caller gets where the servers are asked in this order."""
    answers = []

    async def main(session):
        for number, handler in enumerate(servers):
            await session.add(f"i-{number}", None, handler=handler)
            session.servers.of_service("s")[number].load.own = number
        network = session.network.host("10.9.0.1")
        request = session.request(path).replace(method=method)
        answers.append(await ask_raw(network, GATEWAY, request, version))

    run_routed(main, table)
    return answers[0]


SECOND_ANSWERS = {
    "an error without a body": sized(b"", kind=None, status=500),
    "its deadline has passed": sized(b"", kind=None, status=504),
    "an error in events": chunked(events(4, 6), status=500),
    "another type": sized(b'{"a":\n\n1}', kind=b"application/json"),
    "no event, end not told": unframed(b""),
    "from the beginning again": chunked(events(1, 6)),
    "a comment, then from the beginning": chunked(b": on\n\n" + events(1, 6)),
    "an event that was passed on": chunked(events(3, 6)),
}


@pytest.mark.parametrize("second", SECOND_ANSWERS.values(), ids=SECOND_ANSWERS)
def test_only_a_continuation_goes_on_with_a_stream(second):
    """What a second server answers must neither end a stream nor be joined to it."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(second))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CUT)


@pytest.mark.parametrize("second", SECOND_ANSWERS.values(), ids=SECOND_ANSWERS)
def test_a_third_server_goes_on_where_the_second_one_does_not(second):
    """A second server that does not go on is an attempt that failed, not the end."""
    broken = says(chunked(events(1, 3), last=False))
    third = says(chunked(events(4, 6)))
    answer = ask(broken, says(second), third, table=THREE_ATTEMPTS)
    assert (answer.body, answer.end) == (events(1, 6), AnswerEnd.WHOLE)


def test_a_stream_of_which_only_the_end_was_lost_is_whole():
    """All events have come, the last chunk has not: the second server has no more."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(chunked(b"")))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.WHOLE)


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/draw/x"])
@pytest.mark.parametrize("status", [200, 500])
def test_what_only_its_connection_ends_is_not_framed_as_whole(path, status):
    """An answer without length that is broken off must not get a length here."""
    data = unframed(b"some", kind=b"text/plain", status=status)
    answer = ask(says(data), path=path)
    assert (answer.status, answer.body) == (status, b"some")
    assert answer.end is AnswerEnd.CLOSED


def test_a_whole_answer_without_length_that_is_reset_is_not_passed_on():
    """A reset in the place of the regular end tells that the answer is not whole."""
    answer = ask(says(unframed(b"some", kind=None), RESET), path="/book/x")
    assert (answer.status, answer.end) == (502, AnswerEnd.WHOLE)


def test_a_stream_without_framing_ends_as_it_came():
    """Between two events nothing tells a whole stream from one that was cut off."""
    answer = ask(says(unframed(events(1, 3))))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CLOSED)


@pytest.mark.parametrize(
    ("rest", "end"),
    [(b"", RESET), (PART, RESET), (PART, FIN)],
    ids=["reset between events", "reset within an event", "end within an event"],
)
def test_a_stream_without_framing_goes_on_where_it_is_seen_to_break(rest, end):
    """A reset, or an end within an event, tells that the stream was broken off."""
    first = says(unframed(events(1, 3) + rest), end)
    answer = ask(first, says(chunked(events(4, 6))))
    assert (answer.body, answer.end) == (events(1, 6), AnswerEnd.CLOSED)


def test_a_continuation_without_framing_does_not_make_a_stream_whole():
    """Chunks were begun for this caller; the last one would claim what nobody knows."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(unframed(events(4, 6))))
    assert (answer.body, answer.end) == (events(1, 6), AnswerEnd.CUT)


def test_a_caller_without_chunks_sees_that_a_stream_was_cut():
    """A caller of HTTP/1.0 takes a connection that ends for a whole answer."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(sized(b"", status=500)), version="1.0")
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CUT)


def test_a_caller_without_chunks_gets_whole_streams():
    answer = ask(says(chunked(events(1, 3))), version="1.0")
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CLOSED)


STREAM_TYPES = [
    (sized, b"Text/Event-Stream"),
    (sized, b"text/event-stream ;a=b"),
    (unframed, b"Text/Event-Stream"),
    (unframed, None),
]


@pytest.mark.parametrize(("frame", "kind"), STREAM_TYPES)
def test_a_stream_is_one_however_its_type_is_written(frame, kind):
    """A stream that is taken for a plain answer ends as whole within an event."""
    data = frame(events(1, 3) + PART, kind=kind)
    answer = ask(says(data), says(chunked(events(4, 6))))
    assert answer.body == events(1, 6)


def test_an_answer_of_known_length_and_no_type_passes_as_it_is():
    answer = ask(says(sized(b"some", kind=None)))
    assert (answer.body, answer.end) == (b"some", AnswerEnd.WHOLE)


def test_a_type_that_only_begins_like_that_of_events_is_another_one():
    answer = ask(says(sized(b"some", kind=b"text/event-streams")))
    assert (answer.body, answer.end) == (b"some", AnswerEnd.WHOLE)


HAS_LENGTH = head(kind=b"text/plain", framing=b"content-length: 100")


def test_an_answer_to_head_does_not_claim_another_length():
    """The length of the answer to a GET was replaced by that of no body."""
    answer = ask(says(HAS_LENGTH), path="/book/x", method="HEAD")
    assert answer.status == 200
    assert find_header(answer.headers, "content-length") in (None, "100")


def test_an_answer_to_head_needs_no_event():
    """A head of a stream was taken for a stream without events, and made again."""
    answer = ask(says(head()), says(head()), method="HEAD")
    assert answer.status == 200


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_an_answer_that_has_no_body_is_whole(status, version):
    """Without length, it must not be taken for one that its connection ends."""
    answer = ask(says(head(status, kind=None)), path="/book/x", version=version)
    assert (answer.status, answer.body, answer.end) == (status, b"", AnswerEnd.WHOLE)


def test_what_precedes_an_answer_is_not_taken_for_it():
    """Interim answers may come before the final one, which has the framing."""
    interim = b"HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n"
    answer = ask(says(interim + chunked(events(1, 3))))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.WHOLE)


def test_an_event_without_id_is_not_passed_on_twice():
    """Resumed after the last id, a server gives what has followed it once more."""
    tail = b"data: done\n\n"
    broken = says(chunked(events(1, 3) + tail, last=False))
    answer = ask(broken, says(chunked(tail)))
    assert answer.body.count(tail) == 1


def test_a_continuation_that_leaves_events_out_does_not_make_a_stream_whole():
    """A server that has forgotten older events begins with a later one."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(chunked(events(5, 6))))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CUT)


def test_an_event_without_id_of_a_server_that_begins_anew_is_not_joined():
    """It passes before the first event with an id tells that the server began anew."""
    broken = says(chunked(events(1, 3), last=False))
    again = events(1, 6)
    anew = chunked(b"data: hello\n\n", last=False)
    anew += b"%x\r\n%b\r\n0\r\n\r\n" % (len(again), again)
    third = says(chunked(events(4, 6)))
    answer = ask(broken, says(anew), third, table=THREE_ATTEMPTS)
    assert (answer.body, answer.end) == (events(1, 6), AnswerEnd.WHOLE)


@pytest.mark.parametrize("second", [chunked(b"data: x\n\n"), unframed(b": on\n\n")])
def test_a_second_answer_without_ids_does_not_end_a_stream(second):
    """Its end, told or not, would be taken for that of the stream."""
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(second))
    assert answer.body.replace(b": on\n\n", b"") == events(1, 3)
    assert answer.end is AnswerEnd.CUT


def test_a_stream_of_which_only_the_end_was_lost_is_whole_after_a_comment():
    broken = says(chunked(events(1, 3), last=False))
    answer = ask(broken, says(chunked(b": on\n\n")))
    assert answer.body == events(1, 3) + b": on\n\n"
    assert answer.end is AnswerEnd.WHOLE


def test_an_empty_answer_is_none_to_a_stream_of_comments():
    """No event has come of either server, so that a whole stream would be claimed."""
    broken = says(chunked(b": on\n\n", last=False))
    answer = ask(broken, says(chunked(b"")))
    assert (answer.body, answer.end) == (b": on\n\n", AnswerEnd.CUT)


@pytest.mark.parametrize(
    ("frame", "count"), [(unframed, [b"1"]), (chunked, []), (sized, [])]
)
def test_answers_whose_end_is_not_told_are_counted(frame, count):
    """Operators could not see how many answers may have been cut off unnoticed."""
    counted = []

    async def main(session):
        session.node.observer.load()
        await session.add("i-0", None, handler=says(frame(events(1, 3))))
        await session.ask("/draw/x")
        name = b'gooseberryyoke_ends_not_told_total{service="s"} '
        lines = session.node.render_metrics().splitlines()
        counted.extend(line[len(name) :] for line in lines if line.startswith(name))

    run_routed(main)
    assert counted == count
