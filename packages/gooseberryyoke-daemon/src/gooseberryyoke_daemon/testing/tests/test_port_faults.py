"""Inputs that once failed a process, each sent to a running system."""

from random import Random

import pytest
from orjson import dumps, loads
from trio import sleep

from gooseberryyoke_daemon.agent.attempt import AttemptOrder
from gooseberryyoke_daemon.testing import FakeEngine, run_session
from gooseberryyoke_daemon.wire import Address, HttpClient, Limits, Request, Signer

ENTRY, AGENT = "10.0.0.1:9000", "10.0.2.1:9000"
ANNOUNCED = {
    "name": "odd",
    "incarnation": 1,
    "sequence": 1,
    "data_centre": "dc1",
    "leaving": True,
}
SERVER = {
    **ANNOUNCED,
    "service": "draw-llm",
    "models": ["heat-draw"],
    "address": "10.0.9.9:9000",
    "report": {"running": 1},
    "report_age_s": 0.1,
    "bundle_version": 1,
}
PEER = {
    **ANNOUNCED,
    "url": "http://10.0.9.9:8000",
    "bundle_version": 1,
    "usage": {"draw-llm": {"club": [1, 0.5]}},
}


async def start(session, engine):
    await session.start()
    await session.server("g1", "10.0.2.1", "draw-llm", ["heat-draw"], engine)
    await sleep(1.2)


def order(session, **changes):
    agent = session.daemons["g1"].nodes["agent"]
    times = (session.clock.wall(), 1, True, 5.0)
    made = AttemptOrder(
        "a1", "e9", agent.incarnation, *times, "POST", "/x", (), dumps({"messages": []})
    )
    return {**made.to_json(), **changes}


async def send(session, address, method, path, payload, seed=5):
    key, rng = b"internal-key-of-the-tests", Random(seed)
    signer = Signer("k1", key, session.clock.wall, rng)
    client = HttpClient(session.network.host("10.0.9.9"), Limits(), signer)
    request = Request(method, path, (), dumps(payload))
    address = Address.parse(address)
    async with client.open(address, request, timeout_s=20) as reply:
        return reply.status, loads(await reply.read())


def check_refused(address, path, make, method="POST"):
    async def body(session):
        await start(session, FakeEngine())
        status, told = await send(session, address, method, path, make(session))
        assert (status, told["verdict"]) == (400, "not-run")
        state = (await session.operate("GET", "/operator/status")).payload
        assert "odd" not in str(state)
        await sleep(1.0)
        assert (await session.draw("one two")).status == 200

    run_session(body)


def test_samples_are_taken_as_they_are():
    """Else each change of theirs would be refused for another reason."""

    async def body(session):
        await start(session, FakeEngine())
        calls = [
            (ENTRY, "/internal/announcements/server", SERVER),
            (ENTRY, "/internal/announcements/entry", PEER),
            (AGENT, "/internal/attempts/a1/bar", {"incarnation": 1, "ordered_s": 1.0}),
            (ENTRY, "/internal/register", [["Prepare", "odd", [9, "p"]]]),
        ]
        for seed, (address, path, payload) in enumerate(calls):
            status, _ = await send(session, address, "POST", path, payload, seed)
            assert status == 200
        order_read = AttemptOrder.from_json(order(session))
        assert order_read.to_json() == order(session)

    run_session(body)


@pytest.mark.parametrize(
    "changes",
    [
        {"report": {"running": "many"}},
        {"report": {"running": -1}},
        {"report": {"step_ms": "nan"}},
        {"report": {"queued_by_priority": 5}},
        {"models": [["heat-draw"]]},
        {"report_age_s": -1.0},
        {"bundle_version": -1},
    ],
    ids=str,
)
def test_malformed_announcement_of_a_server(changes):
    """
    The sender got 500, and the server stood in the directory all the same.

    The announcement was kept before its report had been read; a report of nan or
    below zero went into every prediction.
    """
    path = "/internal/announcements/server"
    check_refused(ENTRY, path, lambda _: {**SERVER, **changes})


@pytest.mark.parametrize(
    "usage",
    [5, {"club": 5}, {"club": ["x", 1]}, {"club": [1, "x"]}, {"club": [1, -1e9]}],
    ids=str,
)
def test_malformed_usage_of_an_entry(usage):
    """
    Each later announcement of any entry failed with 500, or shares went wrong.

    The usage was kept before it was summed, and failed each later sum.
    """
    path = "/internal/announcements/entry"
    check_refused(ENTRY, path, lambda _: {**PEER, "usage": {"draw-llm": usage}})


@pytest.mark.parametrize(
    "changes",
    [
        {"budget_s": -1.0},
        {"budget_s": "x"},
        {"attempt": []},
        {"ordered_s": "now"},
        {"bundle_version": "2"},
        {"method": 5},
        {"headers": [["a"]]},
        {"headers": [[1, 2]]},
        {"target": None},
    ],
    ids=str,
)
def test_malformed_order(changes):
    """
    The agent ended, and with it every attempt that it ran, or it answered 500.

    The order was taken unread; what failed in its run failed the whole process.
    """
    path = "/internal/attempts"
    check_refused(AGENT, path, lambda session: order(session, **changes))


@pytest.mark.parametrize(
    "asked",
    [
        {"incarnation": [], "ordered_s": 1.0},
        {"incarnation": 1, "ordered_s": "nan"},
        {"incarnation": 1, "ordered_s": "inf"},
    ],
    ids=str,
)
def test_malformed_bar(asked):
    """
    The agent answered, for a time that is no number, as if it had barred.

    Nan is not older than the window in which a bar proves that nothing ran.
    """
    check_refused(AGENT, "/internal/attempts/a1/bar", lambda _: asked)


@pytest.mark.parametrize("first", ["x", "-1", "", "9" * 5000], ids=len)
def test_malformed_resumption(first):
    """The agent answered 500, or for -1 counted the frames from their end."""

    async def body(session):
        await start(session, FakeEngine())
        agent = session.daemons["g1"].nodes["agent"]
        agent._table.take(AttemptOrder.from_json(order(session)))
        path = f"/internal/attempts/a1?from={first}"
        status, told = await send(session, AGENT, "GET", path, None)
        assert (status, told["reason"]) == (400, "from")

    run_session(body)


@pytest.mark.parametrize(
    "message",
    [
        ["Prepare", 5, [9, "p"]],
        ["Prepare", "odd", [9.5, "p"]],
        ["Prepare", "odd", [9, 5]],
        ["Accept", "odd", [9, "p"], ["1", None, "o", 0]],
        ["Scan", "", "", -5],
        ["Hello", ["r2"], [1, "n"], 0, False],
        ["NotReady", ["r1", [1, "n"], {}]],
    ],
    ids=str,
)
def test_malformed_message_to_a_replica(message):
    """
    The replica wrote ballots and cells of other types into its log, or refused
    without a verdict after it had carried out the rest of the batch.

    Compared with the next right one, such a ballot fails every request for the
    key, also after a restart.
    """
    right = ["Prepare", "odd-but-right", [9, "p"]]
    check_refused(ENTRY, "/internal/register", lambda _: [right, message])


def test_chat_nested_deeper_than_can_be_written():
    """The caller got 500: JSON is read to a greater depth than it is written."""

    async def body(session):
        await start(session, FakeEngine())
        nested = b"[" * 500 + b"]" * 500
        body = b'{"model": "heat-draw", "messages": ' + nested + b"}"
        request = session.request("POST", "/v1/chat/completions").replace(body=body)
        client, address = session._client, Address("10.0.0.1", 8000)
        async with client.open(address, request) as reply:
            told = loads(await reply.read())
        assert (reply.status, told["reason"]) == (400, "no-json")

    run_session(body)


def test_backend_server_with_a_malformed_load_report():
    """It counts as unreachable; the entries failed on its agent's announcements."""

    class Odd(FakeEngine):
        def _load(self):
            return {**super()._load(), "running": "many"}

    async def body(session):
        await start(session, Odd())
        reply = await session.draw("one two")
        assert (reply.status, reply.verdict) == (503, "not-run")
        agent = session.daemons["g1"].nodes["agent"]
        assert not agent._reporter.reachable

    run_session(body)


def test_order_without_an_end_of_patience():
    """JSON has no infinity: the agent ended on the null that stood for it."""

    async def body(session):
        await start(session, FakeEngine())
        endless = loads(dumps(order(session, budget_s=float("inf"))))
        assert AttemptOrder.from_json(endless).budget_s == float("inf")

    run_session(body)
