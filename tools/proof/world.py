"""Registers under a scheduler that reorders, doubles, loses, crashes and repairs."""

from collections import Counter
from random import Random

from returns.result import Success

from gooseberryyoke.record import Record
from gooseberryyoke.register import (
    Acceptor,
    CollectOperation,
    Proposer,
    ReadOperation,
    ReplicaState,
    WriteOperation,
    majority,
)
from gooseberryyoke.register.changes import (
    FloorRaised,
    Founded,
    Identified,
    Joined,
    Reclaimed,
    SeatNamed,
    SeatTaken,
    SlotDropped,
    SlotStored,
)
from gooseberryyoke.register.identity import Incarnation, exclude_replaced
from gooseberryyoke.register.messages import (
    Confirm,
    Confirmed,
    Copy,
    CopyPage,
    Hello,
    SeatQuery,
    SeatReport,
)
from gooseberryyoke.register.repair import (
    Admission,
    ContestOutcome,
    decide_contest,
    decide_first_join,
    decide_rejoin,
    is_replaced,
    merge_slot,
    next_incarnation,
)
from gooseberryyoke.register.state import FRESH, HANDED_OVER, READY
from tools.proof.history import Entry, History
from tools.proof.succession import Succession

__all__ = ["PROFILES", "Profile", "RegisterWorld"]

_DEADLINE_S = 4.0
_PAGE_SLOTS = 2
_SETTLE_STEPS = 20_000
_TURN_PART = 0.01
"""Of the steps in the end in which a seat's other folder gets its turn."""


class Profile(Record):
    """
    How often what happens; weights against one another.

    Parameters
    ----------
    step_s : float
        Time that a step takes.
    request, reply, sync : float
        Delivery of a request or a reply, and a replica's sync.
    crash, disk, join : float
        Crash, loss of a disk, and a step of a replica on its way back.
    switch : float
        A seat's other folder goes on with it; there is an empty one at first.
    succession : float
        A step on the way of a seat from its holder to a successor.
    """

    __slots__ = (
        "step_s",
        "request",
        "reply",
        "sync",
        "crash",
        "disk",
        "join",
        "switch",
        "succession",
    )

    def __init__(
        self, step_s, request, reply, sync, crash, disk, join, switch=0, succession=0
    ):
        self.step_s = step_s
        self.request = request
        self.reply = reply
        self.sync = sync
        self.crash = crash
        self.disk = disk
        self.join = join
        self.switch = switch
        self.succession = succession


PROFILES = {
    "mixed": Profile(0.01, 30, 30, 20, 0.8, 0.6, 8),
    # Replicas are replaced while single messages of a round are still on the way.
    "replaced": Profile(0.002, 8, 12, 20, 0.2, 2.0, 60),
    # Little goes wrong but the order, so that many operations come to an end.
    "crossed": Profile(0.004, 20, 20, 30, 0.05, 0.05, 8),
    # Seats are taken over, given up half-way and taken back.
    "contested": Profile(0.002, 12, 16, 20, 0.4, 0.3, 60, 2.0),
    # Seats are handed over, several at a time, among losses and takeovers.
    "handed over": Profile(0.002, 20, 24, 30, 0.2, 0.3, 40, 0.3, 3),
}


class WorldReplica:
    """One replica: what is synced, what is not, and how far it has joined."""

    def __init__(self, seat, changes):
        self.seat = seat
        self.synced = list(changes)
        self.unsynced = []
        self.is_up = True
        self.forget_copy()
        self.way_in = None
        self.load()

    def load(self):
        """Forget all that is not synced."""
        state = ReplicaState()
        for change in self.synced:
            state.apply(change)
        self.unsynced = []
        self.forget_copy()
        self.way_in = None
        self.acceptor = Acceptor(state, is_admitted=True)

    def forget_copy(self):
        """Begin the next copy from the first page, and with no slots."""
        self.copied = {}

    @property
    def state(self):
        return self.acceptor.state

    @property
    def is_ready(self):
        return self.is_up and self.acceptor.phase() == READY

    def record(self, changes):
        """Apply and sync."""
        for change in changes:
            self.state.apply(change)
        self.synced += changes

    def sync(self):
        """Sync; return the replies that waited for it."""
        replies = [reply for _, reply in self.unsynced]
        for changes, _ in self.unsynced:
            self.synced += changes
        self.unsynced = []
        return replies


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

    make_replica = WorldReplica

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
            self._go_on(replica)

    def _go_on(self, replica):
        if not replica.is_ready:
            self._try_to_join(replica)
            return
        if is_replaced(replica.state, self._greet(replica)):
            replica.acceptor.is_admitted = False

    def _try_to_join(self, replica):
        if replica.state.status == HANDED_OVER:
            return
        if replica.way_in is not None:
            if next(replica.way_in, None) is None:
                replica.way_in = None
            return
        hellos = self._greet(replica)
        size = len(self.seats)
        if replica.state.status != FRESH:
            position = len(replica.synced)
            judgement = decide_rejoin(replica.state, position, size, hellos)
            if judgement.admission is Admission.SERVE:
                replica.acceptor.is_admitted = True
            elif judgement.admission is Admission.REFUSE:
                self._give_up(replica)
            elif judgement.admission is Admission.RECLAIM:
                replica.way_in = self._reclaim(replica, judgement.sources, hellos)
            return
        judgement = decide_first_join(replica.state, size, hellos, founding=frozenset())
        if judgement.admission is Admission.RENEW:
            incarnation = next_incarnation(replica.seat, hellos, self.rng)
            replica.record([Identified(replica.seat, incarnation)])
            replica.forget_copy()
        elif judgement.admission is Admission.COPY:
            self._copy(replica, judgement.sources)

    def _give_up(self, replica):
        """Leave the seat to its other folder."""
        other = self.aside.pop(replica.seat, None)
        if other is not None:
            self.replicas[replica.seat] = other
            self.faults_injected["seat given up"] += 1

    def _reclaim(self, replica, sources, hellos):
        """Take the seat back, a call at a time."""
        if (yield from self._contest(replica, sources)) is not ContestOutcome.WON:
            return
        if replica.state.status == READY or is_replaced(replica.state, hellos):
            former = replica.state.former or replica.state.incarnation
            incarnation = next_incarnation(replica.seat, hellos, self.rng)
            replica.record([Reclaimed(incarnation, former)])
        name = Copy(replica.seat, replica.state.incarnation, "", 0)
        named = yield from self._ask(sources, name, CopyPage)
        if (yield from self._contest(replica, named)) is ContestOutcome.WON:
            replica.record([Joined()])
            replica.acceptor.is_admitted = True
            self.faults_injected["seat reclaimed"] += 1

    def _contest(self, replica, seats):
        reports = yield from self._ask(seats, SeatQuery(), SeatReport)
        reports = list(reports.values())
        if len(exclude_replaced(reports)) < len(reports):
            return ContestOutcome.OPEN
        contest = decide_contest(replica.state, len(self.seats), reports)
        if contest is ContestOutcome.LOST:
            self._give_up(replica)
        return contest

    def _ask(self, seats, message, kind):
        """Call some seats, in any order, a step each; return the replies of a kind."""
        replies = {}
        for seat in self.rng.sample(sorted(seats), len(seats)):
            other = self.replicas[seat]
            reply = self.call(other, message) if other.is_up else None
            if isinstance(reply, kind):
                replies[seat] = reply
            yield seat
        return replies

    def _greet(self, replica):
        hello = Hello(replica.seat, replica.state.incarnation, 0, True)
        return [
            self.call(other, hello)
            for other in self.replicas.values()
            if other is not replica and other.is_up
        ]

    def call(self, replica, message):
        """Call a replica that syncs at once."""
        answer = replica.acceptor.handle(message)
        self._replies += replica.sync()
        replica.synced += list(answer.changes)
        return answer.reply

    def _copy(self, replica, sources):
        """Copy one more page from one source; end once all are copied."""
        waiting = [seat for seat in sources if not _is_whole(replica.copied.get(seat))]
        if not waiting:
            self._end_copy(replica, sources)
            return
        if not replica.copied:
            slots = list(replica.state.slots)
            replica.record([SlotDropped(key, replica.state.floor) for key in slots])
        seat = self.rng.choice(waiting)
        page = replica.copied.get(seat)
        after = page.slots[-1].key if page is not None else ""
        message = Copy(replica.seat, replica.state.incarnation, after, _PAGE_SLOTS)
        page = self.call(self.replicas[seat], message)
        if not isinstance(page, CopyPage):
            replica.forget_copy()
            return
        replica.copied[seat] = page
        replica.record([_merged(replica, keyed) for keyed in page.slots])

    def _end_copy(self, replica, sources):
        pages = [replica.copied[seat] for seat in sources]
        if len(exclude_replaced(pages)) < len(pages):
            replica.forget_copy()
            return
        replica.way_in = self._confirm(replica, pages)

    def _confirm(self, replica, pages):
        """Have a majority note that the copy is whole, a call at a time."""
        sources = [page.sender.seat for page in pages]
        reports = yield from self._ask(sources, SeatQuery(), SeatReport)
        if len(reports) < len(sources):
            replica.forget_copy()
            return
        floor = max(page.floor for page in pages)
        changes = [FloorRaised(floor)]
        for page in pages:
            changes += [SeatNamed(*item) for item in page.sender.roster.items()]
        for report in reports.values():
            for seat, confirmed in report.joined.items():
                changes += [SeatTaken(seat, incarnation) for incarnation in confirmed]
        replica.record(changes)
        message = Confirm(replica.seat, replica.state.incarnation)
        others = [seat for seat in self.seats if seat != replica.seat]
        confirmed = yield from self._ask(others, message, Confirmed)
        if len(confirmed) >= majority(len(self.seats)):
            replica.record([Joined()])
            replica.acceptor.is_admitted = True
            self.faults_injected["repair"] += 1

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
                self._go_on(self.replicas[replica.seat])
            self._hand_over_in_peace()
            actions = [self._sync, self._tick]
            actions += [self._deliver_request] * (3 if self._requests else 0)
            actions += [self._deliver_reply] * (3 if self._replies else 0)
            self.rng.choice(actions)()
            self._reap()
        if not isinstance(client.proposer.result, Success):
            raise AssertionError(f"{key} could not be read: {client.proposer.result}")


def _is_whole(page):
    return page is not None and not page.more


def _merged(replica, keyed):
    slot = merge_slot(replica.state.slots.get(keyed.key), keyed.slot)
    return SlotStored(keyed.key, slot)
