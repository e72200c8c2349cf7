"""A control process is killed right after it has acknowledged that engines leave."""

import json
import os
import sys
import threading
import time
from pathlib import Path

from client import Attempt
from deployment import API, CONTROL_PORT, Deployment, Record, call
from engine import Engine

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
CONTACT_S = 3.0
DRAIN_S = 2.0
DOWN_S = 1.0
KILLED_AFTER_S = 0.03
SERVES_ON_S = 10.0
MARGIN_S = 0.3
LEAVING = ("i-leaves-1", "i-leaves-2")
STAYING = ("i-stays-1", "i-stays-2")
ACKNOWLEDGES = "core-1"
KEY = "n2ctnfzs989anu6wsjnb"
DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "r-lookup",
            "host": "meet.example",
            "path_prefix": "/lookup/",
            "kind": "idempotent",
            "timeout_ms": 2500,
            "target_latency_ms": 150,
            "priority": 2,
            "service": "meet-app",
            "max_attempts": 2,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "meet-app",
            "health_path": "/health",
            "max_connections": 96,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
}


class NotingEngine(Engine):
    """Notes when each request reaches it."""

    def __init__(self, *args):
        self.arrivals = []
        super().__init__(*args)

    def run(self, conn, path, headers, attempt):
        """Note the time, and answer."""
        self.arrivals.append((time.monotonic(), attempt))
        super().run(conn, path, headers, attempt)


class Traffic(threading.Thread):
    """Twenty requests a second, to both gateways in turn."""

    def __init__(self, record, hosts):
        super().__init__(daemon=True)
        self.attempts = []
        self._record = record
        self._hosts = hosts
        self._is_over = threading.Event()

    def run(self):
        """Send until stopped."""
        while not self._is_over.wait(0.05):
            number = len(self.attempts)
            host = self._hosts[number % len(self._hosts)]
            attempt = Attempt(
                self._record, host, f"a-{number}", "/lookup/0/30", KEY, 2524
            )
            self.attempts.append(attempt)
            attempt.start()

    def stop(self):
        """Send nothing more, and wait for the last answers."""
        self._is_over.set()
        self.join()
        for attempt in self.attempts[-60:]:
            attempt.join(4)


def leave(deployment, engine):
    """Say that an engine leaves; give whether that was acknowledged."""
    engine.stop_announcing()
    body = json.dumps({"born": engine.born_ms, "sequence": engine.next_sequence()})
    status, _ = call(
        deployment.hosts[ACKNOWLEDGES],
        CONTROL_PORT,
        "POST",
        f"{API}Instances.Leave/{engine.id}",
        body,
        {"Content-Type": "application/json"},
        1.0,
    )
    return status == 200


def play(deployment, record, engines):
    """Give the exit code."""
    deployment.start_all()
    if not deployment.put_surely(DOCUMENT, 20):
        return 2
    deployment.settle()
    for engine in engines.values():
        engine.announce(deployment)
    if not deployment.wait_ready(20):
        return 2
    time.sleep(CONTACT_S)
    traffic = Traffic(record, [deployment.hosts[name] for name in deployment.gateways])
    traffic.start()
    time.sleep(3)
    acknowledged_s = {}
    for id in LEAVING:
        if not leave(deployment, engines[id]):
            return 2
        acknowledged_s[id] = time.monotonic()
    if HAS_TROUBLE:
        time.sleep(KILLED_AFTER_S)
        deployment.kill(ACKNOWLEDGES)
        killed_s = time.monotonic()
        after_ms = 1000 * (killed_s - acknowledged_s[LEAVING[-1]])
        record.say(f"{ACKNOWLEDGES} was killed {after_ms:.1f} ms after the last ack")
    record.say(f"{ACKNOWLEDGES} had acknowledged that {', '.join(LEAVING)} leave")
    time.sleep(DOWN_S)
    if HAS_TROUBLE:
        deployment.start(ACKNOWLEDGES)
        record.say(f"{ACKNOWLEDGES} was started again")
    # From here on the core is calm.
    calm_s = time.monotonic() + CONTACT_S + MARGIN_S
    end_s = acknowledged_s[LEAVING[-1]] + SERVES_ON_S
    time.sleep(max(0.0, end_s - time.monotonic()))
    traffic.stop()
    return judge(record, engines, acknowledged_s, calm_s, traffic)


def judge(record, engines, acknowledged_s, calm_s, traffic):
    """Look for requests that reached an engine too late after its farewell."""
    late = 0
    for id, engine in engines.items():
        record.say(f"{id}: {len(engine.arrivals)} requests in all")
        if id not in acknowledged_s:
            continue
        from_s = max(calm_s, acknowledged_s[id] + DRAIN_S + MARGIN_S)
        late_ones = [
            (at_s - acknowledged_s[id], attempt)
            for at_s, attempt in engine.arrivals
            if at_s > from_s
        ]
        late += len(late_ones)
        for after_s, attempt in late_ones[:5]:
            record.say(f"{id}: {attempt} came {after_s:.2f} s after the ack")
        record.say(
            f"{id}: {len(late_ones)} requests later than "
            f"{from_s - acknowledged_s[id]:.2f} s after the ack"
        )
    answered = sum(attempt.status == 200 for attempt in traffic.attempts)
    record.say(f"answered: {answered} of {len(traffic.attempts)}")
    if answered < len(traffic.attempts) // 2:
        return 2
    return 1 if late else 0


def main():
    """Play the case; give the exit code."""
    record = Record(FOLDER)
    deployment = Deployment(record, gateways=2)
    engines = {
        id: NotingEngine(
            record, id, "meet-app", f"{deployment.network}.{11 + at}", "riga-a"
        )
        for at, id in enumerate((*LEAVING, *STAYING))
    }
    try:
        result = play(deployment, record, engines)
    finally:
        for engine in engines.values():
            engine.stop()
        deployment.stop()
    record.say({0: "held", 1: "BROKEN", 2: "could not run"}[result])
    return result


if __name__ == "__main__":
    sys.exit(main())
