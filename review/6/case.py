"""All processes are killed while one rank of a group of engines has crashed."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from deployment import (  # noqa: E402
    FRONT,
    SIGNATURE,
    ZONES,
    CaseFailed,
    Deployment,
    Engine,
    document,
    exchange,
    run_case,
    wait_ready,
)

CORE = ("control-1", "control-2", "control-3")
GATEWAYS = ("gateway-1", "gateway-2")
RANKS = 8
SLOTS = 12
EVENTS = 12
EVENT_S = 0.09
FORM_S = 0.6
REST_S = 1.0
DOWN_S = 0.7
CRASHED_S = 4.5
STALL_S = 1.5
RECOVERY_S = 12.0
BEFORE_S = 6.0
AFTER_S = 12.0
EACH_S = 0.08
TIMEOUT_S = 8.0
_NOT_RUN = "X-Gooseberryyoke-Not-Executed: 1\r\n"


class Group:
    """A group that is open while all of its ranks run, in a new epoch each time."""

    def __init__(self):
        self.epoch = 1
        self.missing = None
        self.broken_s = 0.0
        self._opens_s = None

    @property
    def state(self):
        """What its ranks report."""
        return "open" if self.missing is None else "broken"

    def break_up(self, id):
        """Lose a rank."""
        self.missing, self.broken_s = id, time.monotonic()

    def rest_s(self):
        """For how long its ranks want nothing: until it opens, once that is known."""
        if self._opens_s is None:
            return REST_S
        return max(0.01, self._opens_s - time.monotonic())

    async def form(self):
        """Open again, now that all ranks are there."""
        self._opens_s = time.monotonic() + FORM_S
        await asyncio.sleep(FORM_S)
        self.epoch, self.missing = self.epoch + 1, None


class Rank(Engine):
    """A sound rank: serves streams, and turns work away while its group is broken."""

    def __init__(self, deployment, number, id, group):
        super().__init__(deployment, id, ZONES[0], CORE)
        self.refused = 0
        self._number = number
        self._group = group
        self._open = set()

    def heartbeat(self):
        """Make the next heartbeat."""
        place = {"name": "g0", "epoch": self._group.epoch, "rank": self._number}
        return super().heartbeat() | {
            "slot_count": SLOTS,
            "group": place | {"state": self._group.state},
            "size": RANKS,
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    def crash(self):
        """Stop, with all that it serves."""
        self.stop()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            await self._exchange(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _exchange(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields.get("x-gooseberryyoke-attempt-id")
        echo = f"X-Gooseberryyoke-Attempt-Id: {attempt}\r\n"
        if fields.get("x-gooseberryyoke-expect-instance", self.id) != self.id:
            await _end(writer, f"HTTP/1.1 421 Misdirected Request\r\n{echo}{_NOT_RUN}")
        elif self._group.state == "broken":
            await self._refuse(writer, attempt, echo)
        else:
            self.ran.append((time.monotonic(), attempt))
            self._deployment.record.note("run", attempt, "at", self.id)
            await self._stream(writer, echo)

    async def _refuse(self, writer, attempt, echo):
        missing = self._group.missing
        # What depends on a missing rank stalls first.
        stalls_until_s = self._group.broken_s + STALL_S
        await asyncio.sleep(max(0.0, stalls_until_s - time.monotonic()))
        self.refused += 1
        self._deployment.record.note("503 to", attempt, "at", self.id)
        head = f"HTTP/1.1 503 Service Unavailable\r\n{echo}{_NOT_RUN}"
        head += f"Retry-After: {self._group.rest_s():.2f}\r\nAt-Server: {missing}\r\n"
        await _end(writer, head)

    async def _stream(self, writer, echo):
        head = f"HTTP/1.1 200 OK\r\n{echo}{SIGNATURE}: {self.id}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode("latin-1"))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if self._group.state == "broken":
                # The work stalls, and is cut off then.
                await asyncio.sleep(STALL_S)
                writer.transport.abort()
                return
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _end(writer, head):
    writer.write(f"{head}Content-Length: 0\r\n\r\n".encode("latin-1"))
    await writer.drain()


def configuration(version):
    """Make a configuration whose first route is of the group's service."""
    whole = document(version)
    for route in whole["routes"]:
        route["service"] = "app"
    whole["routes"][0] |= {
        "name": "draw",
        "path_prefix": "/draw/",
        "kind": "streaming",
        "timeout_ms": round(1000 * TIMEOUT_S),
        "resumable": True,
        "target_gap_ms": 120,
    }
    return whole


class Clients:
    """Clients that ask all the while, and come back once after a failure."""

    def __init__(self, deployment):
        self.answers = []
        self._deployment = deployment
        self._tasks = set()

    async def run(self):
        """Send requests until cancelled."""
        for number in itertools.count():
            task = asyncio.create_task(self._ask(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(EACH_S)

    async def _ask(self, number):
        until_s = time.monotonic() + TIMEOUT_S
        for attempt in range(2):
            gateway = GATEWAYS[(number + attempt) % len(GATEWAYS)]
            left_s = until_s - time.monotonic()
            status, fields = await self._attempt(number, attempt, gateway, left_s)
            if status in (200, 400, 401, 404):
                return
            left_s = until_s - time.monotonic()
            wait_s = float((fields or {}).get("retry-after", 0.1))
            await asyncio.sleep(min(wait_s, max(0.0, left_s / 3)))

    async def _attempt(self, number, attempt, gateway, left_s):
        sent_s = time.monotonic()
        id = f"a-{number}-{attempt}"
        headers = [
            ("Host", "case.example"),
            ("Authorization", "Bearer key-of-tenant"),
            ("X-Gooseberryyoke-Attempt-Id", id),
            ("X-Gooseberryyoke-Deadline-Ms", str(max(1, round(left_s * 1000)))),
        ]
        host = self._deployment.addresses[gateway]
        status, fields, body = await exchange(
            host, FRONT, "POST", "/draw/x", headers, b"{}", max(0.1, left_s)
        )
        is_served = status == 200 and f"id: {EVENTS}\n".encode() in body
        self.answers.append((sent_s, is_served))
        retry = None if fields is None else fields.get("retry-after")
        self._deployment.record.note(
            "request", id, "at", gateway, "->", status, "retry-after", retry
        )
        return status, fields

    def close(self):
        """Give up what is asked."""
        for task in self._tasks:
            task.cancel()

    def share(self, from_s, until_s):
        """Count the requests sent in a span, and those of them that were served."""
        found = [
            served for sent_s, served in self.answers if from_s <= sent_s < until_s
        ]
        return len(found), sum(found)


class Engines:
    """All engines of the service: one group."""

    def __init__(self, deployment):
        self.ranks = {}
        self._deployment = deployment
        self._announcing = {}
        self._group = Group()

    async def start(self, number, id):
        """Start a rank at its machine."""
        machine = self._deployment.machine(f"side-{number}")
        self._deployment.addresses[id] = machine
        rank = self.ranks[number] = Rank(self._deployment, number, id, self._group)
        await rank.serve()
        self._announcing[number] = asyncio.create_task(rank.announce())
        self._deployment.record.note(id, "is up")

    async def crash(self, number):
        """Let a rank crash; the group opens again once it has started again."""
        rank = self.ranks[number]
        self._announcing[number].cancel()
        rank.crash()
        self._group.break_up(rank.id)
        self._deployment.record.note(rank.id, "crashes")
        await asyncio.sleep(CRASHED_S)
        # It starts again under its id, in a new lifetime.
        await self.start(number, rank.id)
        await self._group.form()
        self._deployment.record.note("the group is open")

    def close(self):
        """Send no more heartbeats."""
        for task in self._announcing.values():
            task.cancel()


async def case(deployment: Deployment, has_trouble):
    """Give whether hardly a request is served long after the final fault."""
    deployment.seeds = [f"{deployment.machine(name)}:8229" for name in CORE]
    for name, zone in zip(CORE, ZONES, strict=True):
        deployment.start(name, zone, bootstrap=True)
    for name in GATEWAYS:
        deployment.start(name, ZONES[0], bootstrap=True)
    await deployment.put_surely(configuration(7), CORE)
    engines = Engines(deployment)
    for number in range(RANKS):
        await engines.start(number, f"i-{number}")
    for name in GATEWAYS:
        await wait_ready(deployment, name)
    await asyncio.sleep(2.0)

    clients = Clients(deployment)
    begun_s = time.monotonic()
    asking = asyncio.create_task(clients.run())
    await asyncio.sleep(BEFORE_S)
    fault_s = time.monotonic()
    tasks = []
    if has_trouble:
        tasks.append(asyncio.create_task(engines.crash(RANKS - 1)))
        await asyncio.sleep(0.2)
        await _final_fault(deployment)
    back_s = time.monotonic()
    await asyncio.sleep(RECOVERY_S + AFTER_S + 1.0)
    engines.close()
    clients.close()
    for task in (asking, *tasks):
        task.cancel()
    await asyncio.sleep(0.2)

    sent, served = clients.share(begun_s, fault_s - 2.0)
    deployment.record.note("before the fault: sent", sent, "served", served)
    since_s = back_s + RECOVERY_S
    sent_after, served_after = clients.share(since_s, since_s + AFTER_S)
    deployment.record.note("after recovery: sent", sent_after, "served", served_after)
    for rank in engines.ranks.values():
        deployment.record.note(rank.id, "ran", len(rank.ran), "refused", rank.refused)
    return 4 * served >= sent and 4 * served_after < sent_after


async def _final_fault(deployment):
    """Kill all processes right after a change was acknowledged, and start them."""
    if await deployment.put(CORE[0], configuration(8)) != 200:
        raise CaseFailed("version 8 was not acknowledged")
    for name in (*CORE, *GATEWAYS):
        deployment.kill(name)
    await asyncio.sleep(DOWN_S)
    for name, zone in zip(CORE, ZONES, strict=True):
        deployment.start(name, zone)
    for name in GATEWAYS:
        deployment.start(name, ZONES[0])


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, Path(__file__).parent, with_trouble))
