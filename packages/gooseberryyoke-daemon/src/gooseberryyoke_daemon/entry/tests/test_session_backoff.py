import trio

from gooseberryyoke_daemon.testing.arrivals import ArrivalCheck
from gooseberryyoke_daemon.testing.session import run_session
from gooseberryyoke_daemon.wire import Response, json_response

LOAD = {"running": 0, "queued": 0, "batch_slots": 8, "step_ms": 10, "leaving": False}
PATH = "/v1/services/meet-app/lanes"
DRAIN_S = 0.2
"""For what is on its way to a server when it says that it leaves."""


class PlainServer:
    """Answers, or turns everything away and asks for a pause."""

    def __init__(self):
        self.pause_s = None
        self.headers = []
        self.check = ArrivalCheck(drain_s=DRAIN_S)
        self.served = 0

    async def __call__(self, request):
        if request.path == "/load":
            return json_response(200, LOAD)
        now = trio.current_time()
        self.check.arrived(now)
        if self.pause_s is not None:
            self.check.asked_pause(now, self.pause_s)
            return Response(503, [("retry-after", str(self.pause_s))], b"")
        if self.headers:
            self.check.left(now)
        self.served += 1
        return Response(200, self.headers, b"lanes")


async def start(session, count):
    servers = [PlainServer() for _ in range(count)]
    await session.start()
    for number, server in enumerate(servers, 1):
        await session.server(f"s{number}", f"10.1.0.{number}", "meet-app", [], server)
    await trio.sleep(2.0)
    return servers


async def ask_often(session, for_s, rate=20):
    statuses = []

    async def ask(entry):
        statuses.append((await session.call("GET", PATH, entry=entry)).status)

    async with trio.open_nursery() as nursery:
        for number in range(round(rate * for_s)):
            nursery.start_soon(ask, number % 3 + 1)
            await trio.sleep(1 / rate)
    return statuses


def test_an_agent_keeps_work_from_a_server_that_asked_for_a_pause():
    # Guards against work that entries send on to a server in a pause, and against
    # callers refused beside another one.
    async def main(session):
        asker, other = await start(session, 2)
        asker.pause_s = 3
        await ask_often(session, 0.6)
        statuses = await ask_often(session, 2.2)
        assert asker.check.asked
        assert asker.check.faults() == []
        assert set(statuses) == {200}
        asker.pause_s = None
        await trio.sleep(3.5)
        before = asker.served
        assert set(await ask_often(session, 2.0)) == {200}
        assert asker.served > before

    run_session(main)


def test_with_all_servers_in_a_pause_an_entry_says_when_it_ends():
    # Guards against callers sent back too early, or kept waiting in vain.
    async def main(session):
        (server,) = await start(session, 1)
        server.pause_s = 4
        await ask_often(session, 0.6)
        reply = await session.call("GET", PATH)
        assert (reply.status, reply.verdict) == (503, "not-run")
        assert 2 <= int(reply.header("retry-after")) <= 4
        assert server.check.faults() == []

    run_session(main)


def test_a_server_that_says_in_an_answer_that_it_leaves_gets_nothing_new():
    # Guards against work for a server that leaves while its reports don't say so yet.
    async def main(session):
        leaver, _ = await start(session, 2)
        leaver.headers = [("gooseberryyoke-leaving", "1")]
        statuses = await ask_often(session, 3.0)
        assert leaver.check.asked
        assert leaver.check.faults() == []
        assert set(statuses) == {200}

    run_session(main)
