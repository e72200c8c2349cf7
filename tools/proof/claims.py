"""Requests that may run once, through entries, agents and replicas that fail."""

from collections import Counter
from random import Random

import trio
from returns.result import Failure, Success

from gooseberryyoke.claim import (
    AttemptLedger,
    AttemptState,
    RejectMayHaveRun,
    ReplayAnswer,
    make_stored_answer,
)
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.claims import (
    ClaimKeeper,
    ClaimLost,
    ClaimResolver,
    Proceed,
)
from gooseberryyoke_daemon.replica.memory import MemoryReplicas
from tools.proof.schedule import run_seeded

__all__ = ["STEPS", "ClaimWorld", "Told", "run_world"]

STEPS = ("resolved", "reserved", "taken", "ran", "answered", "settled")
_BODY_LIMIT_BYTES = 100
_TRIES = 5


class Told(Record):
    """
    What a caller was told.

    Parameters
    ----------
    verdict : str
        ``answer``, ``not-run`` or ``may-have-run``.
    body : bytes or None
        Of an answer.
    """

    __slots__ = ("verdict", "body")

    def __init__(self, verdict, body=None):
        self.verdict = verdict
        self.body = body


class _Life:
    """Tasks that end together when their process is killed."""

    def __init__(self):
        self._scopes = []

    def task(self):
        """Give the scope of one more task."""
        self._scopes.append(trio.CancelScope())
        return self._scopes[-1]

    def kill(self):
        """End all tasks."""
        for scope in self._scopes:
            scope.cancel()


class _Agent:
    """An agent beside a server that counts what it runs."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.lives = 0
        self.life = _Life()
        self.restart()

    def restart(self):
        """Begin a new life; what runs is cut off, its answer lost."""
        self.life.kill()
        self.lives += 1
        self.life = _Life()
        self.ledger = AttemptLedger(f"{self.name}-{self.lives}")

    async def dispatch(self, claim):
        """Run an attempt; None if the answer was lost on the way."""
        await self.world.travel()
        ledger, reply = self.ledger, []
        taken = ledger.start(claim.attempt, claim.incarnation, trio.current_time())
        if isinstance(taken, Failure):
            return taken
        # A started run goes on when the entry that asked for it dies.
        done = trio.Event()
        self.world.nursery.start_soon(self._run, claim, ledger, reply, done)
        await done.wait()
        await self.world.travel()
        return reply[0] if reply else None

    async def _run(self, claim, ledger, reply, done):
        with self.life.task():
            await self.world.at("taken", self)
            self.world.runs[claim.key] += 1
            body = f"{claim.key} run {self.world.runs[claim.key]}".encode()
            await self.world.at("ran", self)
            answer = make_stored_answer(201, [], body, _BODY_LIMIT_BYTES)
            ledger.finish(claim.attempt, answer, trio.current_time())
            reply.append(Success(answer))
        done.set()

    async def bar(self, claim):
        """Bar an attempt; the agent's word on it."""
        await self.world.travel()
        word = self.ledger.bar(claim.attempt, claim.incarnation, trio.current_time())
        await self.world.travel()
        return word


class _Entry:
    """The part of an entry between its caller and an agent."""

    def __init__(self, world, name, registers):
        self.world = world
        self.name = name
        self.life = _Life()
        self.keeper = ClaimKeeper(registers, trio.current_time)
        self.resolver = ClaimResolver(self.keeper, self._ask)
        self.attempts = 0

    async def _ask(self, claim):
        return await self.world.agents[claim.agent].bar(claim)

    async def serve(self, key):
        """Answer one request."""
        for _ in range(_TRIES):
            decision = await self.resolver.resolve("acc", key, "d", timeout_s=2.0)
            await self.world.at("resolved", self)
            found = decision.value_or(None)
            if isinstance(found, ReplayAnswer):
                return Told("answer", found.answer.body)
            if isinstance(found, RejectMayHaveRun):
                return Told("may-have-run")
            if not isinstance(found, Proceed):
                return Told("may-have-run" if isinstance(decision, Success) else "away")
            told = await self._run(key, found.version)
            if told is not None:
                return told
        return Told("not-run")

    async def _run(self, key, version):
        agent = self.world.rng.choice(list(self.world.agents.values()))
        self.attempts += 1
        held = await self.keeper.reserve(
            "acc",
            key,
            "d",
            f"{self.name}-{self.attempts}",
            agent.name,
            agent.ledger.incarnation,
            version,
        )
        if isinstance(held, Failure):
            is_lost = isinstance(held.failure(), ClaimLost)
            return None if is_lost else Told("not-run")
        held = held.unwrap()
        await self.world.at("reserved", self)
        reply = await agent.dispatch(held.claim)
        if reply is None:
            return Told("may-have-run")
        if isinstance(reply, Failure):
            return await self._refused(held, reply.failure().outcome.state)
        await self.world.at("answered", self)
        await self.keeper.settle(held, reply.unwrap())
        await self.world.at("settled", self)
        return Told("answer", reply.unwrap().body)

    async def _refused(self, held, state):
        if state in (AttemptState.RUNNING, AttemptState.DONE):
            return Told("may-have-run")
        # Sent once, and refused: nothing ran under this attempt.
        await self.keeper.release(held)
        return None


class ClaimWorld:
    """
    Three replicas, two agents, two entries and their callers.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    hook : callable
        ``await hook(world, step, actor)`` at each of `STEPS`.
    latency_s : float
        Longest time of a message one way.

    Attributes
    ----------
    runs : Counter
        By key.
    told : list of (str, Told)
        What callers were told, by key; None if their entry died.
    """

    def __init__(self, nursery, seed, hook, latency_s=0.0):
        self.nursery = nursery
        self.rng = Random(seed)
        self.replicas = MemoryReplicas(
            nursery, seed, latency_s=latency_s, sync_s=latency_s / 2
        )
        self.agents = {name: _Agent(self, name) for name in ("agent-1", "agent-2")}
        self.entries = {}
        self.runs = Counter()
        self.told = []
        self.injected = Counter()
        self._hook = hook
        self._latency_s = latency_s
        self._lives = 0

    async def start(self):
        """Start everything."""
        await self.replicas.start_all()
        for name in ("e1", "e2"):
            await self.start_entry(name)

    async def start_entry(self, name):
        """Start an entry, or its next life."""
        if name in self.entries:
            self.entries[name].life.kill()
        self._lives += 1
        registers = await self.replicas.client(name)
        self.entries[name] = _Entry(self, f"{name}-{self._lives}", registers)

    async def lose_replica(self, seat):
        """Kill a replica, empty its disk, and bring it back."""
        self.replicas.kill(seat)
        self.replicas.lose_disk(seat)
        await self.replicas.start(seat)

    async def ask(self, entry_name, key):
        """Send a request as a caller does."""
        entry = self.entries[entry_name]
        told = None
        with entry.life.task():
            told = await entry.serve(key)
        if told is not None:
            self.told.append((key, told))
        return told

    async def travel(self):
        """Let a message's time pass."""
        await trio.sleep(self.rng.uniform(0, self._latency_s))

    async def at(self, step, actor):
        """Let faults in at a step."""
        await self._hook(self, step, actor)
        await trio.lowlevel.checkpoint()

    def faults(self):
        """
        List what must not be.

        Returns
        -------
        list of str
        """
        found = [
            f"{key} ran {runs} times" for key, runs in self.runs.items() if runs > 1
        ]
        bodies = {}
        for key, told in self.told:
            if told.verdict == "answer":
                bodies.setdefault(key, set()).add(told.body)
                if not self.runs[key]:
                    found.append(f"{key} answered without a run")
        found += [
            f"{key} has answers {seen}" for key, seen in bodies.items() if len(seen) > 1
        ]
        return found


def run_world(main, seed, hook, latency_s=0.0):
    """
    Run a world under the mock clock, with the same schedule for the same seed.

    Parameters
    ----------
    main : callable
        ``await main(world)``.
    seed : int
    hook : callable
        See `ClaimWorld`.
    latency_s : float

    Returns
    -------
    ClaimWorld
    """

    def make_world(nursery):
        return ClaimWorld(nursery, seed, hook, latency_s)

    return run_seeded(main, seed, make_world)
