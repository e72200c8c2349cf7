"""The load: one request that ends each server that it reaches, by way of entries."""

import pytest
import trio

from gooseberryyoke_daemon.testing.session import run_session
from gooseberryyoke_daemon.wire import Response, json_response

LOAD = {"running": 0, "queued": 0, "batch_slots": 8, "step_ms": 10, "leaving": False}
PATH = "/v1/services/meet-app/lanes"
HARMFUL = f"{PATH}?harmful=1"
SERVERS, MOST_ENDS = 9, 3
TOLD_S = 0.1
"""For one entry's announcement to reach the others."""


class Fleet:
    """Servers that end on one request, and count which they get."""

    def __init__(self, session):
        self.session = session
        self.arrivals = []

    async def start(self):
        await self.session.start()
        for number in range(1, SERVERS + 1):
            name, host = f"s{number}", f"10.1.0.{number}"
            handler = self._handler(f"{name}.server")
            await self.session.server(name, host, "meet-app", [], handler)
        await trio.sleep(2.0)

    def _handler(self, name):
        async def handle(request):
            if request.path == "/load":
                return json_response(200, LOAD)
            if "harmful" not in request.target:
                return Response(200, [], b"lanes")
            self.arrivals.append(name)
            await trio.sleep(0.05)
            self.session.kill(name)
            return await trio.sleep_forever()

        return handle

    async def ask(self, target, entry):
        return await self.session.call("GET", target, entry=entry)


def play(body):
    async def main(session):
        fleet = Fleet(session)
        await fleet.start()
        await body(fleet)

    run_session(main)


@pytest.mark.parametrize("entries", [(1,), (1, 2, 3)])
def test_a_callers_tries_end_three_servers_at_most(entries):
    """Each try of a caller ended as many servers as a request has attempts."""

    async def body(fleet):
        for number in range(6):
            answer = await fleet.ask(HARMFUL, entries[number % len(entries)])
            await trio.sleep(TOLD_S)
        assert len(fleet.arrivals) <= MOST_ENDS
        assert (answer.status, answer.verdict) == (503, "not-run")
        assert answer.json()["reason"] == "request-quarantined"

    play(body)


def test_other_requests_are_served_after_one_was_kept_back():
    """What is kept back is the request, and not its account or service."""

    async def body(fleet):
        for number in range(4):
            await fleet.ask(HARMFUL, number % 3 + 1)
            await trio.sleep(TOLD_S)
        statuses = [(await fleet.ask(PATH, 1)).status for _ in range(5)]
        assert statuses == [200] * 5

    play(body)
