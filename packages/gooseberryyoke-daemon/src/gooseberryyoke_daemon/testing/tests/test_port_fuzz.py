"""Bad input to each port of whole processes: refused, survived, not kept."""

from functools import partial
from itertools import count
from random import Random

from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from orjson import dumps, loads
from trio import sleep

from gooseberryyoke_daemon.agent.attempt import AttemptOrder
from gooseberryyoke_daemon.testing import run_session
from gooseberryyoke_daemon.testing.session import chat
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    Limits,
    Request,
    Response,
    Signer,
    json_response,
)

ENTRY, AGENT = "10.0.0.1", "10.0.2.1"
CALLERS, OPERATORS, INTERNAL = 8000, 8500, 9000
EXAMPLES = 28
DEEP, DEPTH = "@deep", 500
NEWER = 2**63
GOOD = Request(
    "POST",
    "/v1/chat/completions",
    [("authorization", "Bearer club-key")],
    dumps(chat("one two")),
)
SERVER = {
    "name": "fuzz",
    "incarnation": 1,
    "sequence": 1,
    "data_centre": "dc1",
    "service": "draw-llm",
    "models": ["heat-draw"],
    "address": "10.0.9.9:9000",
    "leaving": True,
    "report": {"running": 1, "batch_slots": 8, "step_ms": 10.0},
    "report_age_s": 0.1,
    "bundle_version": 1,
}
PEER = {
    "name": "fuzz",
    "incarnation": 1,
    "sequence": 1,
    "data_centre": "dc1",
    "url": "http://10.0.9.9:8000",
    "leaving": True,
    "bundle_version": 1,
    "usage": {"draw-llm": {"club": [1, 0.5]}},
}
BALLOT, CELL = [1, "p"], [1, None, "o", 0]
MESSAGES = (
    ["Prepare", "fuzz", BALLOT],
    ["Accept", "fuzz", BALLOT, CELL],
    ["Read", "fuzz", "n"],
    ["Forget", "fuzz", BALLOT],
    ["Scan", "fuzz", "", 10],
    ["Hello", "r1", [1, "n"], 0, True],
    ["Copy", "r1", [1, "n"], "", 10],
)
odd = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([-1, 0, NEWER, 1e300, -0.5, "nan", "inf", "1", "", "é\n", {}]),
    st.sampled_from([[], [[]], [{}], [1, "x"], {"a": []}, {"a": {"b": "c"}}]),
    st.integers(1, 4).map(lambda n: ["x" * 300] * 10 ** min(n, 3)),
    st.just(DEEP),
)


async def engine(request):
    if request.path == "/load":
        return json_response(200, {"running": 0, "batch_slots": 8, "step_ms": 1})
    return Response(200, (), b"fine")


class Fuzzed:
    """A running session and what its processes hold before bad input."""

    def __init__(self, session):
        self.session = session
        network = session.network.host("10.0.9.9")
        signer = Signer(
            "k1", b"internal-key-of-the-tests", session.clock.wall, Random(5)
        )
        self.plain = HttpClient(network, Limits())
        self.signed = HttpClient(network, Limits(), signer)

    async def start(self):
        await self.session.start()
        await self.session.server("g1", AGENT, "draw-llm", ["heat-draw"], engine)
        await sleep(1.2)
        await self.good("before")

    async def ask(self, client, host, port, request):
        address = Address(host, port)
        async with client.open(address, request, timeout_s=20) as reply:
            body = await reply.read()
            return reply.status, dict(reply.headers), body

    async def good(self, case):
        status, _, body = await self.ask(self.plain, ENTRY, CALLERS, GOOD)
        assert status == 200, (case, status, body)

    def node(self, name):
        (node,) = self.session.daemons[name].nodes.values()
        return node

    async def held(self):
        state = (await self.session.operate("GET", "/operator/status")).payload
        names = [
            member["name"] for kind in ("entries", "agents") for member in state[kind]
        ]
        entry, table = self.node("e1"), self.node("g1")._table
        return (
            names,
            len(entry._admission._tickets),
            len(entry._in_flight._by_server),
            entry._server.exchanges,
            entry._server.open_connections,
            len(table.running),
        )

    async def refused(self, client, host, port, request, accepted=(), verdict=True):
        status, headers, body = await self.ask(client, host, port, request)
        case = (request.method, request.target, request.body[:300], status, body[:300])
        if status in accepted:
            return status
        assert 400 <= status < 500, case
        if request.method != "HEAD":
            assert headers["content-type"] == "application/problem+json", case
            assert loads(body)["reason"], case
        if verdict:
            assert "gooseberryyoke-verdict" in headers, case
        return status


def fuzz(cases, attack, good=()):
    """Send lists of cases, each to one system that must go on as before."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=3,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(cases, min_size=EXAMPLES, max_size=EXAMPLES))
    def search(found):
        async def body(session):
            fuzzed = Fuzzed(session)
            await fuzzed.start()
            before = await fuzzed.held()
            for case in good:
                assert await attack(fuzzed, case) == 200
            for case in found:
                await attack(fuzzed, case)
                await fuzzed.good(case)
            await sleep(2.0)
            assert await fuzzed.held() == before

        run_session(body)

    search()


def changed(good):
    """Take a good object and put one or two odd values into it, or lose a field."""
    names = st.sampled_from(sorted(good))
    wrong = st.dictionaries(names, odd, min_size=1, max_size=2)
    lost = names.map(lambda name: {k: v for k, v in good.items() if k != name})
    return st.one_of(wrong.map(lambda changes: {**good, **changes}), lost, odd)


def bodies(good):
    return st.one_of(changed(good).map(dumps_deep), st.binary(max_size=40))


def dumps_deep(value):
    """Encode a value, with nested lists in place of the mark."""
    return dumps(value).replace(dumps(DEEP), b"[" * DEPTH + b"]" * DEPTH)


CHAT = {**chat("one two"), "metadata": {"class": "draw"}, "max_completion_tokens": 3}
segments = st.sampled_from(
    [
        "",
        "/",
        "..",
        "%2e%2e",
        "%2F",
        "%",
        "%zz",
        "%ff",
        "%00",
        "%0d%0a",
        "confirm",
        "?x",
    ]
)
paths = st.builds(
    lambda start, parts: start + "/".join(parts),
    st.sampled_from(["/", "/v1/", "/v1/services/", "/v1/services/meet-app/", "/v1"]),
    st.lists(segments, max_size=4),
)
headers = st.lists(
    st.sampled_from(
        [
            ("authorization", "Bearer club-key"),
            ("authorization", "Bearer \xff"),
            ("authorization", "Basic x"),
            ("idempotency-key", "k" * 256),
            ("idempotency-key", "\xa0\xad"),
            ("gooseberryyoke-class", "confirm"),
            ("gooseberryyoke-class", "\xff"),
            ("expect", "200-maybe"),
            ("accept-encoding", "\xfe"),
        ]
    ),
    max_size=3,
)
methods = st.sampled_from(["GET", "HEAD", "POST", "DELETE", "get", "PATCH", "X-!"])


def test_callers_port():
    """Requests of odd shape get a verdict; what the entry can't judge goes on."""
    chats = st.builds(
        Request,
        st.just("POST"),
        st.just("/v1/chat/completions"),
        headers.map(lambda more: [("authorization", "Bearer club-key"), *more]),
        st.one_of(bodies(CHAT), odd.map(lambda m: dumps_deep({**CHAT, "messages": m}))),
    )
    others = st.builds(Request, methods, paths, headers, st.binary(max_size=40))

    async def attack(fuzzed, request):
        accepted = (200, 503) if request.path.startswith("/v1/services") else (200,)
        return await fuzzed.refused(fuzzed.plain, ENTRY, CALLERS, request, accepted)

    fuzz(st.one_of(chats, others), attack)


def test_operators_port():
    """What isn't a signed envelope or a known question is refused."""
    envelope = {
        "deployment": "session",
        "version": 2**63,
        "digest": "0",
        "text": "version: 1",
        "signatures": [{"signer": "chief", "signature": "AAAA"}],
    }
    post = partial(Request, "POST", "/operator/bundle", ())
    versions = st.sampled_from(["9" * 300, "-1", "x", "%00", "%C2%B2", "1e3", ""])
    shows = versions.map(lambda v: Request("GET", f"/operator/bundle?version={v}"))
    others = st.builds(Request, methods, paths, headers, st.binary(max_size=40))
    cases = st.one_of(bodies(envelope).map(post), shows, others)

    async def attack(fuzzed, request):
        return await fuzzed.refused(
            fuzzed.plain, ENTRY, OPERATORS, request, accepted=(), verdict=False
        )

    fuzz(cases, attack)


def internal(path, good):
    return st.tuples(st.just("POST"), st.just(path), bodies(good))


def test_internal_port_without_a_right_signature():
    paths = st.sampled_from(
        ["/internal/attempts", "/internal/register", "/internal/announcements/server"]
    )
    marks = st.sampled_from(
        [(), [("gooseberryyoke-signature", "k1;1;2;3")], [("authorization", "x")]]
    )
    cases = st.builds(Request, methods, paths, marks, bodies(SERVER))

    async def attack(fuzzed, request):
        for host in (ENTRY, AGENT):
            status = await fuzzed.refused(fuzzed.plain, host, INTERNAL, request)
            assert status == 401

    fuzz(cases, attack)


def test_announcements():
    """
    A malformed announcement leaves no trace at the entry.

    It was kept before its report or usage was read: the entry then failed on
    it, and on each later announcement or request that met what was kept.
    """
    cases = st.one_of(
        internal("/internal/announcements/server", SERVER),
        internal("/internal/announcements/entry", PEER),
        st.one_of(changed(SERVER["report"]), odd).map(
            lambda report: (
                "POST",
                "/internal/announcements/server",
                dumps_deep({**SERVER, "report": report}),
            )
        ),
        odd.map(
            lambda usage: (
                "POST",
                "/internal/announcements/entry",
                dumps_deep({**PEER, "usage": {"draw-llm": usage}}),
            )
        ),
    )

    numbers = count(1)

    async def attack(fuzzed, case):
        method, path, body = case
        # One that is not newer than the last is dropped before its report is read.
        body = body.replace(b'"sequence":1,', b'"sequence":%d,' % next(numbers))
        return await fuzzed.refused(
            fuzzed.signed, ENTRY, INTERNAL, Request(method, path, (), body), (200,)
        )

    good = [
        ("POST", "/internal/announcements/server", dumps(SERVER)),
        ("POST", "/internal/announcements/entry", dumps(PEER)),
    ]
    fuzz(cases, attack, good)


def test_attempts():
    """
    A malformed order, bar or resumption is refused by the agent.

    A budget below zero or a number that was no text ended the whole agent.
    """
    numbers = count()

    async def attack(fuzzed, case):
        (method, path), changes, raw = case
        if changes.get("bundle_version") == NEWER:
            # Well formed: an agent that has heard of it refuses all older ones.
            changes = {}
        incarnation = fuzzed.node("g1").incarnation
        order = {
            "attempt": f"fuzz{next(numbers) or ''}",
            "entry": "e9",
            "incarnation": incarnation,
            "ordered_s": fuzzed.session.clock.wall(),
            "bundle_version": 1,
            "repeatable": True,
            "budget_s": 1.0,
            "method": "POST",
            "target": "/v1/chat/completions",
            "headers": [],
            "body": "",
        }
        body = raw if raw is not None else dumps_deep({**order, **changes})
        return await fuzzed.refused(
            fuzzed.signed, AGENT, INTERNAL, Request(method, path, (), body), (200,)
        )

    routes = st.sampled_from(
        [("POST", "/internal/attempts")] * 4
        + [
            ("POST", "/internal/attempts/fuzz/bar"),
            ("POST", "/internal/attempts/%00/cancel"),
            ("GET", "/internal/attempts/fuzz?from=x"),
            ("GET", "/internal/attempts/fuzz?from=-1"),
            ("GET", f"/internal/attempts/fuzz?from={'9' * 5000}"),
            ("GET", "/internal/attempts/a/b/c"),
        ]
    )
    fields = st.sampled_from(AttemptOrder.__slots__)
    changes = st.dictionaries(fields, odd, max_size=2)
    raws = st.one_of(st.none(), st.none(), st.none(), st.binary(max_size=20))
    good = [(("POST", "/internal/attempts"), {}, None)]
    fuzz(st.tuples(routes, changes, raws), attack, good)


def test_registers():
    """Messages of wrong types reach no replica's state."""

    def wrong(message):
        return st.tuples(st.integers(0, len(message) - 1), odd).map(
            lambda change: [
                *message[: change[0]],
                change[1],
                *message[change[0] + 1 :],
            ]
        )

    messages = st.one_of(st.sampled_from(MESSAGES).flatmap(wrong), odd)
    cases = st.one_of(
        st.lists(messages, min_size=1, max_size=2).map(dumps_deep),
        odd.map(dumps_deep),
        st.binary(max_size=20),
    )

    async def attack(fuzzed, body):
        request = Request("POST", "/internal/register", (), body)
        return await fuzzed.refused(fuzzed.signed, ENTRY, INTERNAL, request, (200,))

    fuzz(cases, attack, [dumps([message]) for message in MESSAGES])
