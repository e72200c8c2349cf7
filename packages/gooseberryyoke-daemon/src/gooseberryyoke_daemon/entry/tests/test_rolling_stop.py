from random import Random

from trio import open_nursery, sleep

from gooseberryyoke_daemon.testing import FakeEngine, FakeService, run_session
from gooseberryyoke_daemon.testing.session import BUNDLE_TEXT

CONFIRM = "/v1/services/meet-app/confirm"
CALLERS = 3
PAUSE_S = 0.2


class Caller:
    """Keeps the answer to "which address" to its last second, as callers may."""

    def __init__(self, session, number):
        self.session = session
        self.number = number
        self.rng = Random(number)
        self.entries = []
        self.until_s = 0.0
        self.replies = []

    async def run(self, stop):
        while not stop:
            await self.ask(len(self.replies))
            await sleep(PAUSE_S)

    async def ask(self, count):
        entry = await self.entry()
        if count % 3 == 0:
            key = f"{self.number}-{count}"
            reply = await self.session.call(
                "POST", CONFIRM, {"id": key}, entry=entry, idempotency_key=key
            )
        else:
            stream = count % 3 == 1
            reply = await self.session.draw("a b c d", stream=stream, entry=entry)
        self.replies.append((reply.status, reply.verdict))

    async def entry(self):
        if self.session.clock.now() >= self.until_s:
            entry = self.rng.choice(self.entries) if self.entries else 1
            listed = (await self.session.call("GET", "/v1/entries", entry=entry)).json()
            self.entries = [number_of(url) for url in listed["entries"]]
            self.until_s = self.session.clock.now() + listed["max_age_s"]
        return self.rng.choice(self.entries)


def number_of(url):
    return int(url.removeprefix("http://10.0.0.").partition(":")[0])


async def restart_each(session):
    for number in (1, 2, 3, 4):
        await session.stop(f"e{number}")
        await session.entry(number)
        await sleep(3.0)
    for number in (1, 2):
        await session.stop(f"llm{number}")
        await session.agent(
            f"llm{number}", f"10.0.1.{number}", "draw-llm", ["heat-draw"]
        )
        await sleep(1.5)
        await session.stop(f"app{number}")
        await session.agent(f"app{number}", f"10.0.2.{number}", "meet-app", [])
        await sleep(1.5)


def test_rolling_restart_of_all_processes_under_load():
    """
    No caller notices that every process is restarted, one after another.

    Each caller keeps its list of entries for as long as it may. Entries with
    replicas, the entry without, and all agents are stopped as planned while
    callers draw, stream and confirm without a pause.
    """

    async def body(session):
        await session.start(entries=4)
        service_runs = FakeService().runs
        for number in (1, 2):
            engine = FakeEngine()
            await session.server(
                f"llm{number}", f"10.0.1.{number}", "draw-llm", ["heat-draw"], engine
            )
            service = FakeService(runs=service_runs)
            await session.server(
                f"app{number}", f"10.0.2.{number}", "meet-app", [], service
            )
        await sleep(1.5)
        stop, callers = [], [Caller(session, number) for number in range(CALLERS)]
        async with open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.run, stop)
            await restart_each(session)
            stop.append(True)
        seen = {reply for caller in callers for reply in caller.replies}
        assert seen == {(200, "ran"), (201, "ran")}
        assert set(service_runs.values()) == {1}
        assert sum(len(caller.replies) for caller in callers) > 200

    run_session(body, text=BUNDLE_TEXT.replace("max_age_s: 5", "max_age_s: 2"))
