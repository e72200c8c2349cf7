import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.transport import HttpTransport


class _Entry(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        status, body, length = self.server.answers[self.path]
        self.send_response(status)
        self.send_header("content-length", str(length or len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = True

    def do_POST(self):
        self.server.body = self.rfile.read(int(self.headers["content-length"]))
        self.do_GET()

    def log_message(self, *args):
        """Keep quiet."""


@pytest.fixture
def entry():
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Entry)
    server.answers = {}
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()
    thread.join()


def address(server):
    return f"127.0.0.1:{server.server_address[1]}"


def test_json_goes_both_ways(entry):
    entry.answers["/operator/bundle"] = (409, b'{"reason": "conflict"}', None)
    sent = {"text": "Celiņš"}
    answer = HttpTransport().send(address(entry), "POST", "/operator/bundle", sent, 5)
    assert answer == (409, {"reason": "conflict"})
    assert entry.body == b'{"text": "Celi\\u0146\\u0161"}'


@pytest.mark.parametrize(
    "body, length",
    [(b'{"reason"', 500), (b"<html>", None), (b"[]", None), (b"", None)],
)
def test_half_and_foreign_answers_are_no_answers(entry, body, length):
    entry.answers["/operator/status"] = (200, body, length)
    with pytest.raises(EntryUnreachableError, match=address(entry)):
        HttpTransport().send(address(entry), "GET", "/operator/status", None, 5)


def test_a_port_without_entry_is_unreachable(entry):
    entry.shutdown()
    entry.server_close()
    with pytest.raises(EntryUnreachableError, match="refused"):
        HttpTransport().send(address(entry), "GET", "/operator/status", None, 5)


def test_a_watch_gives_lines_until_the_entry_ends_it(entry):
    entry.answers["/operator/watch"] = (200, b'{"event": "a"}\n{"event": "b"}\n', None)
    lines = HttpTransport().lines(address(entry), "/operator/watch")
    assert [line["event"] for line in lines] == ["a", "b"]


def test_a_refused_watch_says_why(entry):
    entry.answers["/operator/watch"] = (503, b'{"detail": "16 watch"}', None)
    with pytest.raises(EntryUnreachableError, match="16 watch"):
        list(HttpTransport().lines(address(entry), "/operator/watch"))
