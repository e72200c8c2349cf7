"""A whole system in memory: entries, agents and fakes on a network that can fail."""

from random import Random

from orjson import dumps, loads
from trio import TASK_STATUS_IGNORED, CancelScope, open_nursery, run, sleep
from trio.testing import MockClock

from gooseberryyoke.bundle import ENGINE, PLAIN, key_hash, parse_bundle
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.agent import AgentNode
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.entry import EntryNode
from gooseberryyoke_daemon.guard import Guard
from gooseberryyoke_daemon.process import Process
from gooseberryyoke_daemon.settings import (
    AgentSettings,
    EntrySettings,
    Listen,
    Server,
    Settings,
)
from gooseberryyoke_daemon.testing.observer import RecordingObserver
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Limits,
    Request,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["BUNDLE_TEXT", "Session", "run_session"]

_EPOCH_S = 1_800_000_000.0
_KEYS = {"k1": b"internal-key-of-the-tests"}
_CALLER_PORT = 8000
_INTERNAL_PORT = 9000
_SERVER_PORT = 7000

BUNDLE_TEXT = f"""\
version: 1
deployment: session
time_zone: UTC
accounts:
  club: {{key_hashes: ["{key_hash("club-key")}"]}}
services:
  draw-llm: {{kind: engine, models: [heat-draw]}}
  meet-app: {{kind: plain}}
classes:
  draw:
    service: draw-llm
    match: {{model: heat-draw}}
    repeatable: true
    default_patience_s: 10
  look:
    service: meet-app
    match: {{path_prefix: /v1/services/meet-app}}
    repeatable: true
    default_patience_s: 5
  confirm:
    service: meet-app
    match: {{path_prefix: /v1/services/meet-app/confirm, method: POST}}
    repeatable: false
    default_patience_s: 5
durable:
  replicas: [{{id: r1, address: 10.0.0.1:9000}}]
stop: {{max_age_s: 5, drain_s: 30}}
"""


class StaticBundles:
    """Stands in for the keeper of bundles."""

    def __init__(self, text=BUNDLE_TEXT):
        self.bundle = parse_bundle(text).unwrap()

    def current(self):
        """Give the bundle, None to stand for a lost lease."""
        return self.bundle


class Reply(Record):
    """What a caller got."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name):
        """Give a header by its lower-case name, or None."""
        return dict(self.headers).get(name)

    @property
    def verdict(self):
        """Value of the verdict header."""
        return self.header("gooseberryyoke-verdict")

    def json(self):
        """Decode the body."""
        return loads(self.body)


class Session:
    """
    One system in memory.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    """

    def __init__(self, nursery, seed=1):
        self.nursery = nursery
        self.network = MemoryNetwork(latency_s=0.001)
        self.rng = Random(seed)
        self.clock = Clock(wall=lambda: _EPOCH_S + self.clock.now())
        self.bundles = StaticBundles()
        self.scopes = {}
        self.nodes = {}
        self.observer = RecordingObserver()
        self._entries = []
        self._client = HttpClient(self.network.host("caller"), Limits())

    def plan_entries(self, count):
        """Give the internal addresses of entries that will be started."""
        self._entries = [
            Address(f"10.0.0.{index + 1}", _INTERNAL_PORT) for index in range(count)
        ]

    async def entry(self, index):
        """Start an entry; its name is ``e`` with its number from 1."""
        address = self._entries[index - 1]
        listen = Listen(address, Address(address.host, _CALLER_PORT))
        entry = EntrySettings("session", None, 0.5, 2.0, 1.5, 0.5)
        settings = self._settings(f"e{index}", "entry", listen, entry=entry)
        process = self._process(f"e{index}", address)
        node = EntryNode(settings, process, self.bundles, self.observer)
        await self._start(f"e{index}", node, process)
        return node

    async def server(self, name, host, service, models, handler):
        """Start a fake backend server and its agent, on one host."""
        await self.nursery.start(self._serve_fake, f"{name}.server", host, handler)
        address = Address(host, _INTERNAL_PORT)
        kind = ENGINE if models else PLAIN
        server_address = Address(host, _SERVER_PORT)
        server = Server(name, server_address, kind, service, models, "/load")
        agent = AgentSettings(server, 0.5, 0.5, 0.5, 3.0)
        settings = self._settings(name, "agent", Listen(address), agent=agent)
        process = self._process(name, address)
        node = AgentNode(settings, process)
        await self._start(name, node, process)
        return node

    def kill(self, name):
        """End a process without any farewell."""
        self.scopes[name].cancel()

    async def call(self, method, target, payload=None, entry=1, **headers):
        """
        Make a request as a caller does.

        Returns
        -------
        Reply
        """
        request = self.request(method, target, payload, **headers)
        address = Address(self._entries[entry - 1].host, _CALLER_PORT)
        async with self._client.open(address, request) as reply:
            return Reply(reply.status, reply.headers, await reply.read())

    def stream(self, payload, entry=1):
        """Open a streamed chat completion; an async context with the reply."""
        request = self.request("POST", "/v1/chat/completions", payload)
        address = Address(self._entries[entry - 1].host, _CALLER_PORT)
        return self._client.open(address, request)

    def request(self, method, target, payload=None, **headers):
        """Build a caller's request; header names are given with underscores."""
        pairs = [("authorization", "Bearer club-key")]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        body = b"" if payload is None else dumps(payload)
        return Request(method, target, pairs, body)

    async def draw(self, question, stream=False, entry=1):
        """Ask for a chat completion and read it whole."""
        payload = chat(question, stream)
        return await self.call("POST", "/v1/chat/completions", payload, entry)

    def _settings(self, name, role, listen, entry=None, agent=None):
        return Settings(
            name,
            "dc1",
            (role,),
            listen,
            tuple(self._entries),
            (),
            None,
            None,
            None,
            None,
            Limits(),
            "info",
            entry,
            agent,
            None,
        )

    def _process(self, name, address):
        return Process(
            name,
            "dc1",
            address,
            _KEYS,
            self.network.host(address.host),
            self.clock,
            Random(self.rng.getrandbits(64)),
            Limits(),
        )

    async def _start(self, name, node, process):
        self.nodes[name] = node
        await self.nursery.start(self._run_node, name, node, process)

    async def _run_node(self, name, node, process, task_status=TASK_STATUS_IGNORED):
        with CancelScope() as self.scopes[name]:
            async with open_nursery() as nursery:
                routes = await nursery.start(node.run)
                server = HttpServer(Guard(process.verifier, routes), process.limits)
                listeners = await process.network.listen(process.internal_address)
                await nursery.start(server.run, listeners)
                task_status.started()

    async def _serve_fake(self, name, host, handler, task_status=TASK_STATUS_IGNORED):
        with CancelScope() as self.scopes[name]:
            listeners = await self.network.host(host).listen(
                Address(host, _SERVER_PORT)
            )
            await HttpServer(handler).run(listeners, task_status=task_status)


def chat(question, stream=False):
    """Build the payload of a chat completion."""
    messages = [{"role": "user", "content": question}]
    return {
        "model": "heat-draw",
        "messages": messages,
        "stream": stream,
        "max_tokens": len(question.split()),
    }


def run_session(body, seed=1):
    """
    Run a test's body with a session under a mock clock.

    Parameters
    ----------
    body : async callable
        Takes the session.
    seed : int
    """

    async def main():
        async with open_nursery() as nursery:
            await body(Session(nursery, seed))
            await sleep(0)
            nursery.cancel_scope.cancel()

    run(main, clock=MockClock(autojump_threshold=0))
