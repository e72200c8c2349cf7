"""A whole system in memory: entries, agents and fakes on a network that can fail."""

from functools import partial
from random import Random

from orjson import dumps, loads
from trio import TASK_STATUS_IGNORED, CancelScope, open_nursery, run, sleep
from trio.testing import MockClock

from gooseberryyoke.bundle import (
    ENGINE,
    PLAIN,
    Envelope,
    Replica,
    key_hash,
    parse_bundle,
)
from gooseberryyoke.bundle.signature import make_key_pair, sign
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.compose import Credentials, Daemon
from gooseberryyoke_daemon.security import Networks, TlsContexts
from gooseberryyoke_daemon.settings import (
    AgentSettings,
    EntrySettings,
    Listen,
    ReplicaSettings,
    Server,
    Settings,
    SignOff,
)
from gooseberryyoke_daemon.storage.memory import MemoryDisk
from gooseberryyoke_daemon.testing.seeding import seeded_scheduler
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Limits,
    Request,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["BUNDLE_TEXT", "Reply", "Session", "run_session"]

_EPOCH_S = 1_800_000_000.0
_KEYS = {"k1": b"internal-key-of-the-tests"}
_CALLER_PORT = 8000
_INTERNAL_PORT = 9000
_SERVER_PORT = 7000
_OPERATOR_PORT = 8500
_SETTLED_S = 2.0
_ENDED_S = 0.01
ENTRIES = 4
REPLICAS = 3

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
  bundle_lease_s: 2
  replicas:
    - {{id: r1, address: 10.0.0.1:9000}}
    - {{id: r2, address: 10.0.0.2:9000}}
    - {{id: r3, address: 10.0.0.3:9000}}
stop: {{max_age_s: 5, drain_s: 30}}
"""


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
    text : str
        The bundle that is rolled at the start.
    key : str
        Bearer key of the calls.
    """

    def __init__(self, nursery, seed=1, text=BUNDLE_TEXT, key="club-key"):
        self.text = text
        self.key = key
        self.nursery = nursery
        self.network = MemoryNetwork(latency_s=0.001)
        self.rng = Random(seed)
        self._deployment = parse_bundle(text).unwrap().deployment
        self.clock = Clock(wall=lambda: _EPOCH_S + self.clock.now())
        self.scopes = {}
        self.killed = set()
        self.daemons = {}
        self.disks = {}
        self._private_key, self._public_key = make_key_pair()
        self._client = HttpClient(self.network.host("caller"), Limits())

    async def start(self, entries=REPLICAS):
        """Start the first entries, three of them with replicas, and roll a bundle."""
        async with open_nursery() as nursery:
            for number in range(1, entries + 1):
                nursery.start_soon(partial(self.entry, number, may_found=True))
        await self.roll(self.text)
        await sleep(_SETTLED_S)

    async def entry(self, number, may_found=False):
        """Start entry ``e`` with its number; the first three hold replicas."""
        name, host = f"e{number}", f"10.0.0.{number}"
        listen = Listen(
            Address(host, _INTERNAL_PORT),
            Address(host, _CALLER_PORT),
            Address(host, _OPERATOR_PORT),
        )
        settings = self._settings(
            name,
            listen,
            roles=("entry", "replica") if number <= REPLICAS else ("entry",),
            entry=EntrySettings(self._deployment, None, 0.5, 2.0, 1.5, 0.5),
            replica=ReplicaSettings(f"r{number}", may_found),
        )
        return await self._start(settings, host)

    async def server(self, name, host, service, models, handler):
        """Start a fake backend server and its agent, on one host."""
        await self.nursery.start(self._serve_fake, f"{name}.server", host, handler)
        return await self.agent(name, host, service, models)

    async def agent(self, name, host, service, models):
        """Start the agent beside a backend server."""
        kind = ENGINE if models else PLAIN
        address = Address(host, _SERVER_PORT)
        server = Server(name, address, kind, service, models, "/load")
        settings = self._settings(
            name,
            Listen(Address(host, _INTERNAL_PORT)),
            roles=("agent",),
            agent=AgentSettings(server, 0.5, 0.5, 0.5, 3.0),
        )
        return await self._start(settings, host)

    async def roll(self, text, entry=1):
        """
        Sign a bundle off and send it to an entry, as the operators' client does.

        Returns
        -------
        JsonReply
        """
        bundle = parse_bundle(text).unwrap()
        about = (bundle.deployment, bundle.version, bundle.digest)
        envelope = sign(Envelope(*about, text), "chief", self._private_key)
        return await self.operate(
            "POST", "/operator/bundle", entry, envelope.to_payload()
        )

    async def operate(self, method, path, entry=1, payload=None):
        """
        Ask at the operators' port of an entry.

        Returns
        -------
        JsonReply
        """
        address = Address(f"10.0.0.{entry}", _OPERATOR_PORT)
        return await self._client.json(method, address, path, payload, timeout_s=20)

    def normalise(self, text):
        """Give a transcript's text as it is: in memory it is always the same."""
        return text

    def kill(self, name):
        """End a process without any farewell."""
        self.scopes[name].cancel()
        self.killed.add(name)

    async def stop(self, name):
        """Stop a process as its command does on SIGTERM."""
        await self.daemons[name].stop()
        self.kill(name)
        await sleep(_ENDED_S)

    async def call(self, method, target, payload=None, entry=1, **headers):
        """
        Make a request as a caller does.

        Returns
        -------
        Reply
        """
        request = self.request(method, target, payload, **headers)
        address = Address(f"10.0.0.{entry}", _CALLER_PORT)
        async with self._client.open(address, request) as reply:
            return Reply(reply.status, reply.headers, await reply.read())

    def stream(self, payload, entry=1):
        """Open a streamed chat completion; an async context with the reply."""
        request = self.request("POST", "/v1/chat/completions", payload)
        address = Address(f"10.0.0.{entry}", _CALLER_PORT)
        return self._client.open(address, request)

    def request(self, method, target, payload=None, **headers):
        """Build a caller's request; header names are given with underscores."""
        pairs = [("authorization", f"Bearer {self.key}")]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        body = b"" if payload is None else dumps(payload)
        return Request(method, target, pairs, body)

    async def draw(self, question, stream=False, entry=1):
        """Ask for a chat completion and read it whole."""
        payload = chat(question, stream)
        return await self.call("POST", "/v1/chat/completions", payload, entry)

    def _settings(self, name, listen, roles, entry=None, agent=None, replica=None):
        hosts = [f"10.0.0.{number}" for number in range(1, ENTRIES + 1)]
        addresses = [Address(host, _INTERNAL_PORT) for host in hosts]
        replicas = [
            Replica(f"r{number}", str(address))
            for number, address in enumerate(addresses[:REPLICAS], 1)
        ]
        return Settings(
            name,
            "dc1",
            roles,
            listen,
            tuple(addresses),
            tuple(replicas),
            name,
            None,
            SignOff({"chief": None}, 1),
            None,
            None,
            Limits(),
            "info",
            entry,
            agent,
            replica,
        )

    async def _start(self, settings, host):
        daemon = Daemon(
            settings,
            Credentials(_KEYS, {"chief": self._public_key}, TlsContexts()),
            Networks(*[self.network.host(host)] * len(Networks.__slots__)),
            self.clock,
            Random(self.rng.getrandbits(64)),
            lambda name: self.disks.setdefault(name, MemoryDisk()),
        )
        self.daemons[settings.name] = daemon
        self.killed.discard(settings.name)
        await self.nursery.start(self._run, settings.name, daemon)
        return daemon

    async def _run(self, name, daemon, task_status=TASK_STATUS_IGNORED):
        with CancelScope() as self.scopes[name]:
            await daemon.run(task_status)

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


def run_session(body, seed=1, **options):
    """
    Run a test's body with a session under a mock clock.

    Parameters
    ----------
    body : async callable
        Takes the session.
    seed : int
    **options
        For `Session`.
    """

    async def main():
        async with open_nursery() as nursery:
            await body(Session(nursery, seed, **options))
            await sleep(0)
            nursery.cancel_scope.cancel()

    with seeded_scheduler(seed):
        run(main, clock=MockClock(autojump_threshold=0))
