"""A sound engine: runs some requests at once, streams events, announces itself.

It answers as PROTOCOL.md says: 421 to a request for another instance, 503 with
X-Gooseberryyoke-Not-Executed if all places are taken, else the events of a stream or a
plain body, with its receipt and its load.
"""

import socket
import threading
import time

HEADER = "x-gooseberryyoke-"


class Engine:
    """
    An engine at an address of its own.

    Parameters
    ----------
    record : Record
    id, service, host, zone : str
    slots : int
    """

    def __init__(self, record, id, service, host, zone, slots=6, port=8080):
        self.id = id
        self.service = service
        self.address = f"{host}:{port}"
        self.zone = zone
        self.slots = slots
        self.runs = []
        self.born_ms = int(time.time() * 1000)
        self._record = record
        self._running = 0
        self._sequence = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, port), backlog=64)
        self._is_over = threading.Event()
        self._is_silent = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def announce(self, deployment, every_s=1.2):
        """Send heartbeats from now on."""

        def beat():
            while not self._is_silent.is_set():
                deployment.tell(
                    f"Instances.Heartbeat/{self.id}",
                    {
                        "service": self.service,
                        "address": self.address,
                        "zone": self.zone,
                        "version": "v1",
                        "slot_count": self.slots,
                        "state": "ready",
                        "cold_remaining_ms": 0,
                        "sequence": self.next_sequence(),
                        "born": self.born_ms,
                    },
                )
                self._is_silent.wait(every_s)

        threading.Thread(target=beat, daemon=True).start()

    def next_sequence(self):
        """Count a call in which the engine tells of itself."""
        self._sequence += 1
        return self._sequence

    def stop_announcing(self):
        """Send no more heartbeats."""
        self._is_silent.set()

    def stop(self):
        """Announce nothing more, and take no more connections."""
        self._is_silent.set()
        self._is_over.set()
        self._listener.close()

    def _accept(self):
        while not self._is_over.is_set():
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            with conn:
                reader = conn.makefile("rb")
                while (request := read_request(reader)) is not None:
                    self._answer(conn, *request)
        except OSError:
            return

    def _answer(self, conn, method, path, headers, body):
        attempt = headers.get(HEADER + "attempt-id", "")
        if path == "/health":
            self._send(conn, 200, attempt, b"ok")
            return
        expected = headers.get(HEADER + "expect-instance")
        if expected not in (None, self.id):
            self._send(conn, 421, attempt, b"another instance")
            return
        with self._lock:
            is_full = self._running >= self.slots
            self._running += not is_full
        if is_full:
            self._record.say(f"{self.id}: {attempt} turned away, all places are taken")
            extra = [(HEADER + "not-executed", "1")]
            self._send(conn, 503, attempt, b"full", extra)
            return
        try:
            self.runs.append(attempt)
            self._record.say(f"{self.id}: {attempt} begins to run")
            self.run(conn, path, headers, attempt)
            self._record.say(f"{self.id}: {attempt} has run")
        finally:
            with self._lock:
                self._running -= 1

    def run(self, conn, path, headers, attempt):
        """Stream the events that the path names: /.../COUNT/MS or a plain answer."""
        _, _, count, pause_ms = path.rstrip("/").rsplit("/", 3)
        if int(count) == 0:
            time.sleep(int(pause_ms) / 1000)
            self._send(conn, 200, attempt, b"done " + attempt.encode())
            return
        self._head(
            conn,
            200,
            attempt,
            [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")],
        )
        for number in range(1, int(count) + 1):
            time.sleep(int(pause_ms) / 1000)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        conn.sendall(b"0\r\n\r\n")

    def _head(self, conn, status, attempt, extra=()):
        load = f"{self._running},0,{self.slots}"
        headers = [
            (HEADER + "attempt-id", attempt),
            (HEADER + "server-signature", f"{self.id}.{attempt}.{status}"),
            (HEADER + "instance-load", load),
            (HEADER + "instance-id", self.id),
            *extra,
        ]
        lines = [
            f"HTTP/1.1 {status} X",
            *(f"{name}: {value}" for name, value in headers),
        ]
        conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def _send(self, conn, status, attempt, body, extra=()):
        self._head(conn, status, attempt, [*extra, ("content-length", len(body))])
        conn.sendall(body)


def read_request(reader):
    """Read one request; give method, path, headers and body, None at the end."""
    first = reader.readline()
    if not first.strip():
        return None
    method, path, _ = first.decode("latin-1").split(" ", 2)
    headers = {}
    while line := reader.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return method, path, headers, body
