"""A client that sends one request on a channel of its own and notes its end."""

import socket
import threading
import time

from deployment import FRONT_PORT

PREFIX = "X-Gooseberryyoke-"


class Attempt(threading.Thread):
    """
    One client attempt.

    Attributes
    ----------
    status : int or None
        None without an answer.
    headers : dict
    body : bytes
    is_complete : bool
        Whether the answer's end was told.
    read_s, ended_s : float
        When the request was sent whole, and when the answer or the channel ended.
    """

    def __init__(self, record, host, id, path, key, deadline_ms, name="meet.example"):
        super().__init__(daemon=True)
        self.id = id
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.sent_s = self.ended_s = None
        self.first_s = None
        self._record = record
        self._host = host
        self._deadline_ms = deadline_ms
        self._request = (
            f"POST {path} HTTP/1.1\r\nHost: {name}\r\n"
            f"{PREFIX}Attempt-Id: {id}\r\n{PREFIX}Deadline-Ms: {deadline_ms}\r\n"
            f"{PREFIX}Model: m\r\n{PREFIX}Token-Usage: 700,140\r\n"
            f"{PREFIX}Prefix-Hash: {abs(hash(id)) % 16**8:08x}:700\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: 4\r\n\r\nbody"
        ).encode()

    def run(self):
        """Send the request and read until the answer or the channel ends."""
        try:
            self._exchange()
        except OSError as exc:
            self._record.say(f"client: {self.id} channel ended: {exc!r}")
        self.ended_s = time.monotonic()
        end = "complete" if self.is_complete else "NOT COMPLETE"
        self._record.say(
            f"client: {self.id} ends with status {self.status}, {end}, "
            f"{len(self.body)} bytes, {self.ended_s - (self.sent_s or 0):.2f} s after "
            "it was sent"
        )

    def _exchange(self):
        with socket.create_connection((self._host, FRONT_PORT), timeout=1.0) as conn:
            conn.settimeout(self._deadline_ms / 1000 + 1)
            conn.sendall(self._request)
            self.sent_s = time.monotonic()
            self._record.say(f"client: {self.id} is sent to {self._host}")
            reader = conn.makefile("rb")
            first = reader.readline()
            if not first:
                return
            self.status = int(first.split()[1])
            while line := reader.readline().strip():
                name, _, value = line.decode("latin-1").partition(":")
                self.headers[name.lower()] = value.strip()
            if "content-length" in self.headers:
                length = int(self.headers["content-length"])
                self.body = reader.read(length)
                self.is_complete = len(self.body) == length
                return
            while size := reader.readline().strip():
                piece = reader.read(int(size, 16))
                reader.readline()
                if not piece:
                    self.is_complete = True
                    return
                self.first_s = self.first_s or time.monotonic()
                self.body += piece
