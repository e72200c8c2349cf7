"""Findings of the review of ORDER: joined, refused or wrongly framed answers."""

import gzip

import pytest

from gooseberryyoke_daemon.gateway.tests.test_answer_ends import (
    RESET,
    ask,
    chunked,
    event,
    events,
    head,
    says,
    sized,
    unframed,
)
from gooseberryyoke_daemon.testing.raw_caller import AnswerEnd, ask_raw
from gooseberryyoke_daemon.testing.routed import GATEWAY, run_routed

BROKEN = says(chunked(events(1, 3), last=False))
COMMENT = b": here\n\n"


def ask_head(data, path):
    answers = []

    async def main(session):
        await session.add("i-0", None, handler=says(data))
        request = session.request(path).replace(method="HEAD", body=b"")
        network = session.network.host("10.9.0.1")
        answers.append(await ask_raw(network, GATEWAY, request))

    run_routed(main)
    return answers[0]


@pytest.mark.parametrize(
    "begin",
    [COMMENT, b"retry: 100\n\n", b"\n\n", b"data: new\n\n"],
    ids=["comment", "retry", "blank lines", "event without id"],
)
def test_an_event_without_id_does_not_let_a_stream_begun_anew_through(begin):
    answer = ask(BROKEN, says(chunked(begin + events(1, 6))))
    assert answer.body.count(event(1)) == 1
    assert answer.end is AnswerEnd.CUT


def test_a_continuation_that_leaves_events_out_is_none():
    """Ids of the first server count up by one; events 4 and 5 are missing."""
    answer = ask(BROKEN, says(chunked(events(6, 8))))
    assert answer.end is AnswerEnd.CUT


def test_a_stream_with_ids_in_letters_is_not_begun_anew_midway():
    """Ids that are no numbers are only compared with the last one that came."""
    first, again = b"id: a\ndata: x\n\nid: b\ndata: y\n\n", b"id: a\ndata: x\n\n"
    second = says(chunked(first + b"id: c\ndata: z\n\n"))
    answer = ask(says(chunked(first, last=False)), second)
    assert answer.body.count(again) == 1
    assert answer.end is AnswerEnd.CUT


def test_an_empty_id_is_none_to_go_on_after():
    """An empty id resets the last one: a second server would begin anew."""
    first = chunked(events(1, 2) + b"id:\ndata: y\n\n", last=False)
    answer = ask(says(first), says(chunked(events(1, 6))))
    assert answer.body.count(event(1)) == 1
    assert answer.end is AnswerEnd.CUT


def test_an_event_without_id_that_was_passed_on_comes_once():
    first = chunked(events(1, 3) + b"data: y\n\n", last=False)
    second = chunked(b"data: y\n\n" + events(4, 6))
    answer = ask(says(first), says(second))
    assert answer.body.count(b"data: y\n\n") == 1


def test_a_stream_that_broke_after_a_comment_only_is_begun_again():
    """No event was passed on, so that a second answer can take its place."""
    first = says(chunked(COMMENT, last=False))
    answer = ask(first, says(chunked(events(1, 3))))
    assert answer.body.endswith(events(1, 3))
    assert answer.end is AnswerEnd.WHOLE


def test_a_long_number_as_id_is_compared():
    first = chunked(b"id: %b\ndata: a\n\n" % (b"1" * 5000), last=False)
    second = chunked(b"id: %b\ndata: b\n\n" % (b"2" * 5000))
    answer = ask(says(first), says(second))
    assert answer.body.endswith(b"data: b\n\n")
    assert answer.end is AnswerEnd.WHOLE


def test_a_whole_compressed_stream_passes_as_it_is():
    body = gzip.compress(events(1, 3), mtime=0)
    lines = b"content-length: %d\r\ncontent-encoding: gzip" % len(body)
    answer = ask(says(head(framing=lines) + body))
    assert (answer.status, answer.body) == (200, body)


def test_head_of_a_stream_is_answered():
    data = head(framing=b"transfer-encoding: chunked")
    assert ask_head(data, "/draw/x").status == 200


def test_head_does_not_claim_that_the_body_is_empty():
    data = head(kind=b"text/plain", framing=b"content-length: 10")
    lengths = [v for n, v in ask_head(data, "/read/x").headers if n == "content-length"]
    assert lengths in ([], ["10"])


def test_length_and_chunks_together_are_read_by_the_chunks():
    begin = head(kind=b"text/plain", framing=b"content-length: 2")
    data = begin[:-2] + b"transfer-encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n"
    answer = ask(says(data), path="/read/x")
    assert (answer.body, answer.end) == (b"some", AnswerEnd.WHOLE)


@pytest.mark.parametrize("frame", [sized, chunked, unframed])
def test_a_server_of_http_1_0_is_read_alike(frame):
    data = frame(b"some", kind=b"text/plain").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    answer = ask(says(data), path="/read/x")
    end = AnswerEnd.CLOSED if frame is unframed else AnswerEnd.WHOLE
    assert (answer.body, answer.end) == (b"some", end)


def test_a_1xx_before_the_answer_does_not_change_its_framing():
    data = b"HTTP/1.1 103 E\r\n\r\n" + unframed(b"some", kind=b"text/plain")
    answer = ask(says(data), path="/read/x")
    assert (answer.body, answer.end) == (b"some", AnswerEnd.CLOSED)


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_that_has_no_body_is_whole_without_length(status):
    answer = ask(says(head(status, kind=None)), path="/read/x")
    assert (answer.status, answer.body, answer.end) == (status, b"", AnswerEnd.WHOLE)


def ask_after(data, last_id):
    answers = []

    async def main(session):
        await session.add("i-0", None, handler=says(data))
        headers = [("last-event-id", last_id)]
        request = session.request("/draw/x", headers=headers)
        network = session.network.host("10.9.0.1")
        answers.append(await ask_raw(network, GATEWAY, request))

    run_routed(main)
    return answers[0]


def test_a_caller_that_has_all_events_gets_a_stream_without_any():
    answer = ask_after(chunked(b""), "3")
    assert (answer.status, answer.body, answer.end) == (200, b"", AnswerEnd.WHOLE)


def test_an_empty_stream_whose_end_is_not_told_is_none():
    assert ask_after(unframed(b""), "3").status == 502


def test_a_stream_without_ids_is_not_begun_anew():
    first = b"data: x\n\ndata: y\n\n"
    answer = ask(says(chunked(first, last=False)), says(chunked(first * 2)))
    assert (answer.body, answer.end) == (first, AnswerEnd.CUT)


def test_what_follows_the_last_event_is_passed_on():
    body = events(1, 3) + b"\n"
    assert ask(says(chunked(body))).body == body


def test_a_continuation_may_begin_with_a_comment():
    answer = ask(BROKEN, says(chunked(COMMENT + events(4, 6))))
    assert answer.body.replace(COMMENT, b"") == events(1, 6)
    assert answer.end is AnswerEnd.WHOLE


def test_a_connection_that_ends_before_the_first_event_continues_nothing():
    first = says(unframed(events(1, 3)), RESET)
    answer = ask(first, says(unframed(b"")))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CUT)


@pytest.mark.parametrize(
    "second",
    [sized(b"", kind=None, status=500), chunked(events(1, 6)), unframed(events(4, 6))],
    ids=["error", "begun anew", "end not told"],
)
def test_a_server_that_does_not_go_on_with_a_stream_is_not_blamed(second):
    async def main(session):
        broken = chunked(events(1, 3), last=False)
        for number, data in enumerate([broken, second]):
            await session.add(f"i-{number}", None, handler=says(data))
            session.servers.of_service("s")[number].load.own = number
        network = session.network.host("10.9.0.1")
        answer = await ask_raw(network, GATEWAY, session.request("/draw/x"))
        assert answer.end is AnswerEnd.CUT
        servers = session.servers.of_service("s")
        assert [server.health.failures for server in servers] == [1, 0]

    run_routed(main)


def test_a_compressed_stream_that_only_its_connection_ends_is_not_framed_as_whole():
    """Taken for a stream of events, it was refused; a length would claim its end."""
    body = gzip.compress(events(1, 3), mtime=0)
    data = head(framing=b"content-encoding: gzip") + body
    answer = ask(says(data))
    assert (answer.status, answer.body, answer.end) == (200, body, AnswerEnd.CLOSED)


@pytest.mark.parametrize("encoding", [b"identity", b"Identity", b""])
def test_a_stream_that_names_no_encoding_is_one_of_events(encoding):
    """Taken for a plain answer, it would end as whole within an event."""
    begin = head(framing=b"content-encoding: " + encoding)
    answer = ask(says(begin + events(1, 3) + b"id: 4\n"), says(chunked(events(4, 6))))
    assert answer.body == events(1, 6)


def test_a_compressed_stream_does_not_go_on_with_a_plain_one():
    body = gzip.compress(events(4, 6), mtime=0)
    lines = b"content-length: %d\r\ncontent-encoding: gzip" % len(body)
    answer = ask(BROKEN, says(head(framing=lines) + body))
    assert (answer.body, answer.end) == (events(1, 3), AnswerEnd.CUT)


def test_head_of_an_answer_without_framing_is_whole():
    """With the connection as its end, an answer without a body would be a reset."""
    answer = ask_head(head(kind=b"text/plain"), "/read/x")
    assert (answer.status, answer.body, answer.end) == (200, b"", AnswerEnd.WHOLE)
