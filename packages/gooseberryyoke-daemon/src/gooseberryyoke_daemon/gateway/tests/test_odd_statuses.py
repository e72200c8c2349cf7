import pytest

from gooseberryyoke_daemon.testing.raw_caller import ask_raw
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.testing.routed import (
    GATEWAY,
    NAMES,
    run_routed,
    sample_table,
)

STATUSES = [
    *("000", "001", "099", "600", "999", "1000", "20", "0200", "+200", "-20"),
    *("abc", "", "101", "2 0", "٢٠٠"),
]
SIGNATURE = f"{NAMES.signature}: sig\r\n".encode()
EVENTS = b"content-type: text/event-stream\r\n"
THREE_ATTEMPTS = sample_table(max_attempts=3)
PATHS = ["/read/x", "/book/x", "/draw/x"]


def says(status, headers=b"", body=b"odd"):
    async def handler(stream):
        async with stream:
            if await receive_request(stream):
                head = b"HTTP/1.1 %b X\r\n" % status.encode() + SIGNATURE + headers
                length = b"content-length: %d\r\n\r\n" % len(body)
                await stream.send_all(head + length + body)

    return handler


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def ask(path, *servers, table=None):
    """Give what a caller gets where the servers are asked in this order."""
    answers = []

    async def main(session):
        for number, handler in enumerate(servers):
            await session.add(f"i-{number}", None, handler=handler)
            session.servers.of_service("s")[number].load.own = number
        network = session.network.host("10.9.0.1")
        request = session.request(path).replace(method="POST")
        answers.append(await ask_raw(network, GATEWAY, request, "1.1"))

    run_routed(main, table)
    return answers[0]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("headers", [b"", EVENTS])
def test_no_caller_gets_an_answer_with_a_status_that_http_lacks(status, headers, path):
    # Guards against what an engine in trouble makes up being passed on as its answer.
    answer = ask(path, says(status, headers))
    assert answer.status == 502


@pytest.mark.parametrize("status", STATUSES)
def test_what_may_be_repeated_is_answered_by_the_next_server(status):
    answer = ask("/read/x", says(status), says("200", body=b"sound"))
    assert (answer.status, answer.body) == (200, b"sound")


@pytest.mark.parametrize("status", STATUSES)
def test_what_must_run_once_is_not_sent_again_after_an_odd_status(status):
    answer = ask("/book/x", says(status), says("200", body=b"sound"))
    assert answer.status == 502


@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_is_not_continued_by_an_answer_with_an_odd_status(status):
    # Guards against pieces of such an answer in the middle of a stream.
    answer = ask(
        "/draw/x",
        _cut_stream(),
        says(status, EVENTS, event(2) + event(3)),
        says("200", EVENTS, event(2)),
        table=THREE_ATTEMPTS,
    )
    assert answer.status == 200
    assert answer.body == event(1) + event(2)


def _cut_stream():
    async def handler(stream):
        async with stream:
            if await receive_request(stream):
                head = b"HTTP/1.1 200 X\r\n" + SIGNATURE + EVENTS
                await stream.send_all(head + b"content-length: 90\r\n\r\n" + event(1))

    return handler
