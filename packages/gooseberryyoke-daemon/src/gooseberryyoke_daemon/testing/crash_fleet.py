"""Gateways before engines that crash on one part of a prompt, or on one request."""

from random import Random

import orjson
import trio
import trio.testing

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.control import EntryPresence
from gooseberryyoke_daemon.gateway import GatewayNode
from gooseberryyoke_daemon.gateway.servers import Servers
from gooseberryyoke_daemon.gateway.sharing import LoadSharing
from gooseberryyoke_daemon.testing.crash_engine import CrashEngine
from gooseberryyoke_daemon.testing.routed import (
    KEY,
    NAMES,
    sample_table,
    sole_budgets,
)
from gooseberryyoke_daemon.testing.seeding import seeded_scheduler
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    Limits,
    Request,
    WireError,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = ["Answer", "CrashFleet", "run_fleet"]

_BODY = b"body"
_EVENTS = 10
_DOWN_S = 3.0
"""From the crash of an engine until it is announced again."""
_CONNECT_S = 0.15
_LATENCY_S = 0.001
_DEADLINE_MS = 8000


class Answer(Record):
    """
    What became of a request.

    Parameters
    ----------
    sent_s : float
        On trio's clock.
    parts : tuple of str
    status : int or None
        None if the answer was broken off.
    verdict : str or None
        Of a gateway's own answer.
    attempts : int
        Engines at which the request arrived.
    took_s : float
        Until the end of its answer.
    retry_after : str or None
        Of a refusal.
    reason : str or None
        Of a gateway's own answer.
    """

    __slots__ = (
        "sent_s",
        "parts",
        "status",
        "verdict",
        "attempts",
        "took_s",
        "retry_after",
        "reason",
    )

    def __init__(
        self, sent_s, parts, status, verdict, attempts, took_s, retry_after, reason
    ):
        self.reason = reason
        self.took_s = took_s
        self.retry_after = retry_after
        self.sent_s = sent_s
        self.parts = parts
        self.status = status
        self.verdict = verdict
        self.attempts = attempts


class CrashFleet:
    """
    Several gateways that share engines.

    Parameters
    ----------
    nursery : trio.Nursery
    gateways, engines : int
    seed : int

    Attributes
    ----------
    network : MemoryNetwork
    crashes : list of float
        When engines crashed, on trio's clock.
    harmful_arrivals : list of float
        When harmful requests reached engines.
    harmful_ends : list of float
        When engines crashed while a harmful request was at them.
    harmful_after : int
        Events that an engine gives before a harmful request crashes it.
    events : int
        Of each stream.
    """

    def __init__(self, nursery, gateways, engines, seed):
        self.network = MemoryNetwork(latency_s=_LATENCY_S)
        self.rng = Random(seed)
        self.crashes = []
        self.harmful_arrivals = []
        self.harmful_ends = []
        self.harmful_after = 0
        self.events = _EVENTS
        self.nodes = {}
        self._servers = {}
        self._engines = {}
        self._arrivals = {}
        self._with_harmful = set()
        self._nursery = nursery
        self._scopes = {}
        self._ended = {}
        self._left_out_until_s = {}
        self._count = engines
        self._asked = 0
        self._there = {
            f"g{number}": EntryPresence(
                f"g{number}", f"10.7.0.{number}:80", f"10.7.0.{number}:71", "a", True
            )
            for number in range(gateways)
        }

    async def start(self):
        """Start all engines, then all gateways."""
        for number in range(self._count):
            await self._start_engine(number, 1)
        for name in self._there:
            await self.start_gateway(name)

    async def start_gateway(self, name, alone_for_s=0.0):
        """
        Start a gateway that knows nothing but the engines.

        Parameters
        ----------
        name : str
        alone_for_s : float
            For which it is not told of the other gateways.
        """
        own, alone_until_s = self._there[name], trio.current_time() + alone_for_s
        host = self.network.host(Address.parse(own.internal).host)
        servers = Servers("a", Random(self.rng.getrandbits(64)), name)
        client = HttpClient(
            host,
            Limits(pool_connections=0),
            keeps_host=True,
            connect_timeout_s=_CONNECT_S,
        )
        rng = Random(self.rng.getrandbits(64))
        node = GatewayNode(_FixedTable(), servers, client, NAMES, rng, sole_budgets())
        sharing = LoadSharing(
            lambda: own,
            lambda: self._known_to(own, alone_until_s),
            servers.peers,
            host.datagrams(Address.parse(own.internal)),
            crash_news=node.quarantine.news,
        )
        self.nodes[name], self._servers[name] = node, servers
        servers.take([self._entry(engine) for engine in self._engines.values()])
        if name in self._ended:
            # Its addresses are taken until then.
            await self._ended[name].wait()
        scope = self._scopes[name] = trio.CancelScope()
        self._ended[name] = trio.Event()
        await self._nursery.start(self._run_gateway, scope, node, sharing, host, own)

    def _known_to(self, own, alone_until_s):
        now = trio.current_time()
        if now < alone_until_s or now < self._left_out_until_s.get(own.name, 0.0):
            return {own.name: own}
        return {
            name: entry
            for name, entry in self._there.items()
            if now >= self._left_out_until_s.get(name, 0.0)
        }

    def leave_out(self, name, for_s):
        """
        Have a gateway and the others not told of each other for a while.

        Parameters
        ----------
        name : str
        for_s : float
        """
        self._left_out_until_s[name] = trio.current_time() + for_s

    async def _run_gateway(self, scope, node, sharing, host, own, task_status):
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    listeners = await host.listen(Address.parse(own.address))
                    await nursery.start(node.run, listeners)
                    await nursery.start(sharing.run)
                    task_status.started()
        finally:
            self._ended[own.name].set()

    def kill_gateway(self, name):
        """
        End a gateway at once.

        Parameters
        ----------
        name : str
        """
        self._scopes.pop(name).cancel()

    async def _start_engine(self, number, life):
        engine = self._engines[number] = CrashEngine(self, number, life)
        await self._nursery.start(engine.run)

    def _entry(self, engine):
        return ServerEntry(
            engine.id,
            1000 * engine.life,
            1,
            "s",
            str(engine.address),
            "a",
            6,
            ServerState.READY,
        )

    def crash(self, engine):
        """
        End an engine at once; it comes back as a new one.

        Parameters
        ----------
        engine : CrashEngine
        """
        if engine.scope.cancel_called:
            return
        engine.scope.cancel()
        self.crashes.append(trio.current_time())
        if engine.id in self._with_harmful:
            self.harmful_ends.append(trio.current_time())
        self._nursery.start_soon(self._bring_back, engine)

    async def _bring_back(self, engine):
        await trio.sleep(_DOWN_S)
        await self._start_engine(engine.number, engine.life + 1)
        entry = self._entry(self._engines[engine.number])
        for servers in self._servers.values():
            servers.take([entry])

    def announce_again(self, name, number):
        """
        Tell one gateway alone that an engine has started anew.

        Parameters
        ----------
        name : str
        number : int
        """
        engine = self._engines[number]
        entry = self._entry(engine)
        born_ms = entry.born_ms + 1
        self._servers[name].take([entry.replace(born_ms=born_ms)])

    def running(self):
        """
        List the engines that run.

        Returns
        -------
        list of CrashEngine
        """
        return [e for e in self._engines.values() if not e.scope.cancel_called]

    def servers(self, name):
        """
        List the engines as a gateway knows them.

        Parameters
        ----------
        name : str
            Of the gateway.

        Returns
        -------
        list of Server
        """
        return self._servers[name].of_service("s")

    def crash_any(self):
        """Crash an engine for a reason that lies in no request."""
        self.crash(self.rng.choice(self.running()))

    def note_arrival(self, number, is_harmful, engine):
        """
        Count a request that has reached an engine.

        Parameters
        ----------
        number : str
        is_harmful : bool
        engine : CrashEngine
        """
        self._arrivals[number] = self._arrivals.get(number, 0) + 1
        if is_harmful:
            self._with_harmful.add(engine.id)
            self.harmful_arrivals.append(trio.current_time())

    async def ask(
        self,
        parts,
        answers,
        gateway=None,
        path="/draw/x",
        own=None,
        body=_BODY,
        last_event_id=None,
    ):
        """
        Send a request and note what becomes of it.

        Parameters
        ----------
        parts : sequence of str or None
            Of its prompt; one of its own is added. None for a request that names none.
        answers : list of Answer
            Appended to.
        gateway : str, optional
            By default any.
        path : str
            Answers are plain but for those of ``/draw/``.
        own : str, optional
            The last part of its prompt; by default one that no other request has.
        body : bytes
        last_event_id : str, optional
            Where the caller has a stream go on.
        """
        self._asked += 1
        number = f"r{self._asked}"
        entry = self._there[gateway or self.rng.choice(sorted(self._scopes))]
        headers = [
            ("host", "h.example"),
            (NAMES.attempt_id, number),
            (NAMES.deadline_ms, str(_DEADLINE_MS)),
            ("authorization", f"Bearer {KEY}"),
        ]
        if parts is not None:
            all_parts = [*parts, own or f"own{number}"]
            prompt = ",".join(f"{part}:40" for part in all_parts)
            headers.append((NAMES.prompt_parts, prompt))
        if last_event_id is not None:
            headers.append(("last-event-id", last_event_id))
        request = Request("POST", path, headers, body)
        caller = HttpClient(self.network.host("10.9.0.1"), keeps_host=True)
        sent_s = trio.current_time()
        status = verdict = retry_after = reason = None
        try:
            async with caller.open(Address.parse(entry.address), request) as reply:
                answer = await reply.read()
                status = reply.status
                verdict = reply.header("gooseberryyoke-verdict")
                reason = orjson.loads(answer)["reason"] if verdict else None
                retry_after = reply.header("retry-after")
        except WireError:
            # Broken off: the status stays None.
            status = None
        attempts, took_s = self._arrivals.get(number, 0), trio.current_time() - sent_s
        outcome = (status, verdict, attempts, took_s, retry_after, reason)
        answers.append(Answer(sent_s, tuple(parts or ()), *outcome))

    async def ask_one(self, parts, *args, **kwargs):
        """
        Send a request; see `ask`.

        Parameters
        ----------
        parts : sequence of str or None
        *args, **kwargs
            Of `ask`, those after the list of answers.

        Returns
        -------
        Answer
        """
        answers = []
        await self.ask(parts, answers, *args, **kwargs)
        return answers[0]

    async def ask_again(self, tries, pause_s, parts, **kwargs):
        """
        Send a request until it is answered, each time under an attempt id of its own.

        Parameters
        ----------
        tries : int
        pause_s : float
            Between two tries, whatever a refusal asks for.
        parts : sequence of str or None
        **kwargs
            Of `ask`.

        Returns
        -------
        list of Answer
        """
        answers = []
        for _ in range(tries):
            await self.ask(parts, answers, **kwargs)
            if answers[-1].status == 200:
                break
            await trio.sleep(pause_s)
        return answers

    async def ask_often(self, rate, for_s, parts_of):
        """
        Send requests at a rate.

        Parameters
        ----------
        rate, for_s : float
            Requests a second, and for how many seconds.
        parts_of : callable
            Takes a random generator and gives the parts of a prompt.

        Returns
        -------
        list of Answer
        """
        answers = []
        async with trio.open_nursery() as nursery:
            for _ in range(round(rate * for_s)):
                nursery.start_soon(self.ask, parts_of(self.rng), answers)
                await trio.sleep(1 / rate)
        return answers


class _FixedTable:
    table = sample_table()
    first_after_s = 0.0


def run_fleet(main, gateways=3, engines=10, seed=1):
    """
    Run a test on a fleet, on a clock that jumps.

    Parameters
    ----------
    main : async callable
        Takes the `CrashFleet`.
    gateways, engines, seed : int
    """

    async def body():
        async with trio.open_nursery() as nursery:
            fleet = CrashFleet(nursery, gateways, engines, seed)
            await fleet.start()
            await main(fleet)
            nursery.cancel_scope.cancel()

    with seeded_scheduler(seed):
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
