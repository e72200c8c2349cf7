"""Orders to evacuate, through control processes, links and replicas that fail."""

from collections import Counter
from math import inf
from random import Random

import trio
from returns.result import Success

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.evacuations import EvacuationStore
from gooseberryyoke_daemon.registers import PeerFailed, RegisterClient
from gooseberryyoke_daemon.replica.memory import MemoryReplicas
from tools.proof.schedule import run_seeded

__all__ = [
    "CONTROLS",
    "DATA_CENTRES",
    "EVACUATION_PROFILES",
    "Attempt",
    "EvacuationProfile",
    "EvacuationWorld",
    "run_evacuations",
]

CONTROLS = ("c1", "c2", "c3")
DATA_CENTRES = ("a", "b")
_LATENCY_S = 0.02
_ANSWER_S = 1.0
"""For which the operator's client waits for an answer."""
_CALL_S = 2.0
"""For a reply of a replica; as of `HttpPeer`."""
_LATE_S = 3.0
_STALL_WITHIN_S = 0.1
"""Of the start of an order, which takes about as long if nothing goes wrong."""


class EvacuationProfile(Record):
    """
    How often what happens.

    Parameters
    ----------
    lost, doubled, late : float
        Parts of the messages; also that of the operations before which their process
        freezes is ``late``.
    stalled : float
        Part of the orders during which all that their process sends is delayed.
    faults : int
        Of processes, disks and links, in one schedule.
    most_tries : int
        Sendings of an order before its operator goes on.
    taken_back : float
        Part of the orders without an acknowledgement that their opposite follows.
    pause_s : float
        Longest, between two orders of an operator.
    """

    __slots__ = (
        "lost",
        "doubled",
        "late",
        "stalled",
        "faults",
        "most_tries",
        "taken_back",
        "pause_s",
    )

    def __init__(
        self, lost, doubled, late, stalled, faults, most_tries, taken_back, pause_s
    ):
        self.lost = lost
        self.doubled = doubled
        self.late = late
        self.stalled = stalled
        self.faults = faults
        self.most_tries = most_tries
        self.taken_back = taken_back
        self.pause_s = pause_s


EVACUATION_PROFILES = {
    "mixed": EvacuationProfile(0.03, 0.03, 0.08, 0.1, 12, 3, 0.5, 1.5),
    # Little goes wrong but that writes arrive after their orders were taken back.
    "stalled": EvacuationProfile(0.0, 0.01, 0.01, 0.4, 2, 1, 1.0, 6.0),
}


class Attempt(Record):
    """
    One sending of an order.

    Parameters
    ----------
    order : EvacuationOrder
    sent_s : float
    ended_s : float
        When its caller had the answer, or gave it up.
    state : EvacuationState or None
        Of the acknowledgement, if there was one.
    """

    __slots__ = ("order", "sent_s", "ended_s", "state")

    def __init__(self, order, sent_s):
        self.order = order
        self.sent_s = sent_s
        self.ended_s = inf
        self.state = None


class _Observation(Record):
    """A state that was shown by a read that began and ended at some time."""

    __slots__ = ("began_s", "ended_s", "state")

    def __init__(self, began_s, ended_s, state):
        self.began_s = began_s
        self.ended_s = ended_s
        self.state = state


class _LateLink:
    """A replica whose requests may be late, lost or doubled on the way."""

    def __init__(self, world, control, peer):
        self._world = world
        self._control = control
        self._peer = peer

    async def call(self, message):
        world = self._world
        replies, done = [], trio.Event()
        for delay_s in world.draw_delays(self._control):
            # A message on its way arrives also when its sender has been killed.
            world.nursery.start_soon(self._deliver, message, delay_s, replies, done)
        with trio.move_on_after(_CALL_S):
            await done.wait()
            return replies[0]
        raise PeerFailed("no reply")

    async def _deliver(self, message, delay_s, replies, done):
        await trio.sleep(delay_s)
        try:
            replies.append(await self._peer.call(message))
        except PeerFailed:
            return
        done.set()


class _SlowRegisters:
    """Registers of a process that may freeze before each operation."""

    def __init__(self, registers, freeze):
        self._registers = registers
        self._freeze = freeze

    async def read(self, key, timeout_s):
        await self._freeze()
        return await self._registers.read(key, timeout_s)

    async def write(self, key, expected_version, value, timeout_s):
        await self._freeze()
        return await self._registers.write(key, expected_version, value, timeout_s)


class _Control:
    """One life of a control process."""

    def __init__(self):
        self.store = None
        self.scopes = set()
        self.stalled_until_s = -inf
        self.delay_s = 0.0

    def kill(self):
        for scope in self.scopes:
            scope.cancel()


class EvacuationWorld:
    """
    Three replicas, three control processes and the operators' orders.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    profile : EvacuationProfile
    mutation : Mutation
        What is left out of the product.

    Attributes
    ----------
    attempts : list of Attempt
    observations : list
        What was read.
    injected : collections.Counter
        Faults by kind.
    """

    def __init__(self, nursery, seed, profile, mutation):
        self.profile = profile
        self.nursery = nursery
        self.rng = Random(f"{seed} evacuations")
        self.replicas = MemoryReplicas(
            nursery, seed, latency_s=_LATENCY_S, sync_s=_LATENCY_S / 2
        )
        self.attempts = []
        self.observations = []
        self.injected = Counter()
        self.is_calm = False
        self._mutation = mutation
        self._controls = {}

    async def start(self):
        """Start everything."""
        await self.replicas.start_all()
        for name in CONTROLS:
            await self.start_control(name)

    async def start_control(self, name):
        """Start a control process, or its next life; what it has sent is on its way."""
        if name in self._controls:
            self._controls[name].kill()
        control = _Control()
        peers = {
            seat: _LateLink(self, control, self.replicas.peer(name, seat))
            for seat in self.replicas.seats
        }
        registers = RegisterClient(peers, Random(self.rng.getrandbits(64)))
        await self.nursery.start(self._run_client, control, registers)
        changed = self._mutation.registers(
            _SlowRegisters(registers, self._freeze), self.nursery
        )
        control.store = self._mutation.store(EvacuationStore(changed, DATA_CENTRES))
        self._controls[name] = control

    async def _run_client(self, control, registers, task_status):
        with trio.CancelScope() as scope:
            control.scopes.add(scope)
            await registers.run(task_status)

    def draw_delays(self, sender=None):
        """Draw how late a message arrives; not at all, once, or twice."""
        if self.is_calm:
            return [0.0]
        if sender is not None and trio.current_time() < sender.stalled_until_s:
            return [sender.delay_s]
        profile = self.profile
        usual = 1.0 - profile.lost - profile.doubled - profile.late
        weights = (usual, profile.lost, profile.doubled, profile.late)
        late_s = self.rng.uniform(0, _LATE_S)
        delays = {"": [0.0], "lost": [], "doubled": [0.0, late_s], "late": [late_s]}
        kind = self.rng.choices(list(delays), weights)[0]
        if kind:
            self.injected[f"message {kind}"] += 1
        return delays[kind]

    async def _freeze(self):
        if not self.is_calm and self.rng.random() < self.profile.late:
            self.injected["control frozen"] += 1
            await trio.sleep(self.rng.uniform(0, _LATE_S))

    async def _stall(self, control):
        """Delay all that a process sends from some moment of an order on."""
        self.injected["control stalled"] += 1
        await trio.sleep(self.rng.uniform(0, _STALL_WITHIN_S))
        control.delay_s = self.rng.uniform(_ANSWER_S, _LATE_S)
        control.stalled_until_s = trio.current_time() + _ANSWER_S

    async def order(self, order):
        """
        Send an order once, to any control process.

        Parameters
        ----------
        order : EvacuationOrder

        Returns
        -------
        bool
            Whether it was acknowledged.
        """
        attempt = Attempt(order, trio.current_time())
        self.attempts.append(attempt)
        answered = trio.Event()
        caller = trio.CancelScope()
        name = self.rng.choice(CONTROLS)
        for delay_s in self.draw_delays()[:1]:
            self.nursery.start_soon(
                self._handle, name, order, delay_s, caller, attempt, answered
            )
        with trio.move_on_after(_ANSWER_S):
            await answered.wait()
        attempt.ended_s = trio.current_time()
        if self._mutation.heeds_callers:
            # The connection is closed, and with it the handler's scope.
            caller.cancel()
        return attempt.state is not None

    async def _handle(self, name, order, delay_s, caller, attempt, answered):
        with caller:
            await trio.sleep(delay_s)
            control = self._controls[name]
            control.scopes.add(caller)
            if not self.is_calm and self.rng.random() < self.profile.stalled:
                self.nursery.start_soon(self._stall, control)
            settled = await control.store.carry_out(order)
            for back_s in self.draw_delays()[:1]:
                await trio.sleep(back_s)
                if isinstance(settled, Success) and attempt.ended_s == inf:
                    attempt.state = settled.unwrap()
                answered.set()
                return
            # The answer is lost; the caller waits until its time is over.
            await trio.sleep(_ANSWER_S)
        if caller.cancelled_caught:
            answered.set()

    async def read(self):
        """Read the state at any control process."""
        began_s = trio.current_time()
        found = await self._controls[self.rng.choice(CONTROLS)].store.newest()
        if isinstance(found, Success):
            ended_s = trio.current_time()
            self.observations.append(_Observation(began_s, ended_s, found.unwrap()))
            return True
        return False

    def faults(self):
        """
        List what must not be.

        Returns
        -------
        list of str
        """
        acked = [attempt for attempt in self.attempts if attempt.state is not None]
        shown = self.observations + [
            _Observation(one.sent_s, one.ended_s, one.state) for one in acked
        ]
        found = [
            f"{one.order} acknowledged with {one.state}"
            for one in acked
            if not one.state.satisfies(one.order)
        ]
        found += _contents_that_differ(shown)
        for observation in shown:
            for one in acked:
                if one.ended_s <= observation.began_s:
                    found += self._faults_after(one, observation)
        return found

    def _faults_after(self, one, observation):
        state = observation.state
        if state.revision < one.state.revision:
            yield (
                f"revision {state.revision} read from {observation.began_s:.3f} s, "
                f"{one.state.revision} acknowledged at {one.ended_s:.3f} s"
            )
        if state.satisfies(one.order) or self._may_be_replaced(one, observation):
            return
        yield (
            f"{one.order} acknowledged at {one.ended_s:.3f} s, doesn't hold at "
            f"{observation.ended_s:.3f} s"
        )

    def _may_be_replaced(self, one, observation):
        """Tell whether an opposite order was open at the same time or sent later."""
        return any(
            other.order.data_centre == one.order.data_centre
            and other.order.kind is not one.order.kind
            and other.ended_s > one.sent_s
            and other.sent_s <= observation.ended_s
            for other in self.attempts
        )


def _contents_that_differ(shown):
    contents = {}
    for observation in shown:
        state = observation.state
        if contents.setdefault(state.revision, state) != state:
            yield f"revision {state.revision} shown with two contents"


def run_evacuations(main, seed, profile, mutation):
    """
    Run a world under the mock clock, with the same schedule for the same seed.

    Parameters
    ----------
    main : callable
        ``await main(world)``.
    seed : int
    profile : EvacuationProfile
    mutation : Mutation

    Returns
    -------
    EvacuationWorld
    """

    def make_world(nursery):
        return EvacuationWorld(nursery, seed, profile, mutation)

    return run_seeded(main, seed, make_world)
