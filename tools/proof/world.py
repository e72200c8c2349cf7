"""Registers under a scheduler that reorders, doubles, loses, crashes and repairs."""

from collections import Counter
from random import Random

from returns.result import Success

from gooseberryyoke.register import (
    CollectOperation,
    Proposer,
    ReadOperation,
    WriteOperation,
    majority,
)
from gooseberryyoke.register.changes import Founded, Identified
from gooseberryyoke.register.identity import Incarnation
from gooseberryyoke.register.repair import next_incarnation
from gooseberryyoke.register.state import FRESH, READY
from tools.proof.history import Entry, History
from tools.proof.profiles import PROFILES
from tools.proof.succession import Succession
from tools.proof.ways_in import WaysIn
from tools.proof.world_replica import WorldReplica

__all__ = ["RegisterWorld"]

_DEADLINE_S = 4.0
_SETTLE_STEPS = 20_000
_TURN_PART = 0.01
"""Of the steps in the end in which a seat's other folder gets its turn."""


class _Client:
    """One operation that goes on."""

    def __init__(self, proposer, began):
        self.proposer = proposer
        self.began = began


class RegisterWorld:
    """
    Replicas and proposers, driven step by step by a seed.

    Parameters
    ----------
    seed : int or random.Random
        Chooses every step.
    size : int
        Number of replicas.
    operations : int
        How many to begin.
    keys : int
        Number of registers.
    profile : Profile, optional

    Attributes
    ----------
    faults_injected : Counter
        By kind.
    histories : dict of str to History
        By register.
    """

    def __init__(self, seed, size=3, operations=12, keys=1, profile=None):
        self.profile = profile or PROFILES["mixed"]
        self.rng = seed if isinstance(seed, Random) else Random(seed)
        self.seats = tuple(f"r{number}" for number in range(1, size + 1))
        founders = {seat: Incarnation(1, seat) for seat in self.seats}
        self.replicas = {
            seat: WorldReplica(
                seat, [Identified(seat, founders[seat]), Founded(founders)]
            )
            for seat in self.seats
        }
        self.aside = {}
        self._successions = {}
        self.faults_injected = Counter()
        self.histories = {f"k{number}": History() for number in range(keys)}
        self.steps = 0
        self._left = operations
        self._count = 0
        self._requests = []
        self._replies = []
        self._clients = {}
        self._ways_in = WaysIn(self)

    @property
    def now(self):
        """Time in seconds."""
        return self.steps * self.profile.step_s

    def run(self):
        """
        Run one schedule to its end.

        Returns
        -------
        list of str
            Faults of the histories; empty if all is well.
        """
        while self._left or self._clients:
            self._step()
        self._settle()
        return [
            f"{key}: {fault}"
            for key, history in self.histories.items()
            for fault in history.faults()
        ]

    def operations(self):
        """
        Count the operations by outcome.

        Returns
        -------
        Counter
        """
        return Counter(
            "read"
            if entry.is_read
            else "written"
            if entry.is_written
            else "denied"
            if entry.is_denied
            else "open"
            for history in self.histories.values()
            for entry in history.entries
        )

    def _step(self):
        self.steps += 1
        self._pick()()
        self._reap()

    def _pick(self):
        possible = [(action, weight) for action, weight in self._actions() if weight]
        left = self.rng.random() * sum(weight for _, weight in possible)
        for action, weight in possible:
            left -= weight
            if left < 0:
                return action
        return possible[-1][0]

    def _actions(self):
        profile = self.profile
        yield self._begin, 3 if self._left and len(self._clients) < 4 else 0
        yield self._deliver_request, profile.request if self._requests else 0
        yield self._deliver_reply, profile.reply if self._replies else 0
        yield self._sync, profile.sync
        yield self._tick, 4
        yield self._pass_time, 1
        yield self._lose_message, 2
        yield self._double_message, 2
        yield self._crash, profile.crash
        yield self._restart, 4
        yield self._lose_disk, profile.disk
        yield self._join, profile.join
        yield self._switch, profile.switch
        yield self._hand_over, profile.succession

    def _begin(self):
        self._left -= 1
        key = self.rng.choice(list(self.histories))
        self._start(self._operation(key))

    def _operation(self, key):
        self._count += 1
        version = self.rng.choice([0, *self._versions(key)])
        kind = self.rng.random()
        if kind < 0.35:
            return ReadOperation(key)
        if kind < 0.55:
            return CollectOperation(key, version)
        return WriteOperation(key, version, f"v{self._count}")

    def _versions(self, key):
        """Versions that some caller knows, the latest more often."""
        shown = [
            entry.observed.version
            for entry in self.histories[key].entries
            if entry.observed is not None
        ]
        return shown[-2:] + shown[-1:] * 4

    def _start(self, operation, deadline_s=_DEADLINE_S):
        identity = f"{self.rng.randrange(8)}-{self._count}-{self.steps}"
        proposer = Proposer(
            operation, identity, self.seats, self.rng, self.now + deadline_s
        )
        client = self._clients[identity] = _Client(proposer, self.steps)
        self._send(identity, proposer.start(self.now))
        return client

    def _send(self, identity, outbound):
        self._requests += [(out.seat, out.message, identity) for out in outbound]

    def _pop(self, bag):
        return bag.pop(self.rng.randrange(len(bag)))

    def _deliver_request(self):
        seat, message, identity = self._pop(self._requests)
        replica = self.replicas[seat]
        if not replica.is_up:
            self._replies.append((identity, seat, None))
            return
        answer = replica.acceptor.handle(message)
        replica.unsynced.append((list(answer.changes), (identity, seat, answer.reply)))

    def _deliver_reply(self):
        identity, seat, reply = self._pop(self._replies)
        client = self._clients.get(identity)
        if client is None:
            return
        if reply is None:
            self._send(identity, client.proposer.failed(seat, self.now))
        else:
            self._send(identity, client.proposer.receive(seat, reply, self.now))

    def _sync(self):
        replica = self.replicas[self.rng.choice(self.seats)]
        self._replies += replica.sync()

    def _tick(self):
        for identity, client in list(self._clients.items()):
            self._send(identity, client.proposer.tick(self.now))

    def _pass_time(self):
        self.steps += self.rng.randrange(60)

    def _lose_message(self):
        bag = self.rng.choice([self._requests, self._replies])
        if bag:
            self._pop(bag)
            self.faults_injected["message lost"] += 1

    def _double_message(self):
        bag = self.rng.choice([self._requests, self._replies])
        if bag:
            bag.append(self.rng.choice(bag))
            self.faults_injected["message doubled"] += 1

    def _crash(self):
        replica = self.replicas[self.rng.choice(self.seats)]
        if replica.is_up:
            replica.is_up = False
            self.faults_injected["crash"] += 1
            self.faults_injected["record lost unsynced"] += sum(
                len(changes) for changes, _ in replica.unsynced
            )
            replica.load()
            replica.acceptor.is_admitted = False

    def _restart(self):
        replica = self.replicas[self.rng.choice(self.seats)]
        if not replica.is_up:
            replica.is_up = True
            replica.acceptor.is_admitted = False

    def _lose_disk(self):
        seat = self.rng.choice(self.seats)
        if not self._may_lose(seat):
            return
        if self.replicas[seat].state.status == READY:
            self.faults_injected["disk lost"] += 1
            incarnation = next_incarnation(seat, [], self.rng)
            self.replicas[seat] = WorldReplica(seat, [Identified(seat, incarnation)])

    def _may_lose(self, seat):
        """Tell whether the other seats bear it that one is out."""
        out = {r.seat for r in self.replicas.values() if self._is_out(r)}
        return len(out | {seat}) <= len(self.seats) - majority(len(self.seats))

    def _hand_over(self):
        """Go a step on with the succession of a seat, or begin one."""
        seat = self.rng.choice(self.seats)
        succession = self._successions.get(seat)
        holder = self.replicas[seat]
        if succession is None and holder.is_ready:
            succession = self._successions[seat] = Succession(self, holder)
        if succession is not None and not succession.go_on():
            del self._successions[seat]

    def _is_out(self, replica):
        succession = self._successions.get(replica.seat)
        if succession is not None and succession.has_copied(replica):
            # What it has voted for is on its successor's disk as well.
            return False
        if replica.seat in self.aside:
            # A folder that has voted may be the wrong one of two.
            return not replica.is_ready
        return replica.state.status != READY

    def _switch(self):
        """Let another folder begin with a seat, or the one before go on with it."""
        seat = self.rng.choice(self.seats)
        present = self.replicas[seat]
        if not self._may_lose(seat) or self._is_half_confirmed(present):
            return
        if seat not in self.aside:
            incarnation = next_incarnation(seat, [], self.rng)
            self.aside[seat] = WorldReplica(seat, [Identified(seat, incarnation)])
        self._let_other_try(present)
        self.faults_injected["holder switched"] += 1

    def _let_other_try(self, replica):
        """Let a seat's other folder go on with it, if there is one; keep this one."""
        other = self.aside.get(replica.seat)
        if other is None:
            return
        replica.load()
        replica.acceptor.is_admitted = False
        self.aside[replica.seat], self.replicas[replica.seat] = replica, other

    def _is_half_confirmed(self, replica):
        """
        Tell whether some peers have confirmed a holder that has not joined yet.

        A folder that is lost at this moment is as good as the disk of the holder
        before it: nobody can tell which of the two has voted last.
        """
        known = [
            other.state.joined.get(replica.seat) for other in self.replicas.values()
        ]
        return replica.state.status == FRESH and replica.state.incarnation in known

    def _join(self):
        replica = self.replicas[self.rng.choice(self.seats)]
        if replica.is_up:
            self._ways_in.go_on(replica)

    def call(self, replica, message):
        """Call a replica that syncs at once."""
        answer = replica.acceptor.handle(message)
        self._replies += replica.sync()
        replica.synced += list(answer.changes)
        return answer.reply

    def _reap(self):
        for identity, client in list(self._clients.items()):
            proposer = client.proposer
            if proposer.result is None:
                continue
            del self._clients[identity]
            entry = Entry(proposer.operation, client.began, self.steps, proposer.result)
            self.histories[proposer.operation.key].add(entry)

    def _settle(self):
        """Undo all faults, deliver what is in flight, and read every register."""
        self._left = 0
        for key in self.histories:
            for _ in range(2):
                self._read_in_peace(key)

    def _hand_over_in_peace(self):
        """End the successions that are under way; begin none."""
        for seat, succession in list(self._successions.items()):
            if not succession.go_on():
                del self._successions[seat]

    def _read_in_peace(self, key):
        client = self._start(ReadOperation(key), deadline_s=_SETTLE_STEPS)
        for _ in range(_SETTLE_STEPS):
            if client.proposer.result is not None:
                break
            self.steps += 1
            for replica in list(self.replicas.values()):
                replica.is_up = True
                if not replica.is_ready and self.rng.random() < _TURN_PART:
                    self._let_other_try(replica)
                self._ways_in.go_on(self.replicas[replica.seat])
            self._hand_over_in_peace()
            actions = [self._sync, self._tick]
            actions += [self._deliver_request] * (3 if self._requests else 0)
            actions += [self._deliver_reply] * (3 if self._replies else 0)
            self.rng.choice(actions)()
            self._reap()
        if not isinstance(client.proposer.result, Success):
            raise AssertionError(f"{key} could not be read: {client.proposer.result}")
