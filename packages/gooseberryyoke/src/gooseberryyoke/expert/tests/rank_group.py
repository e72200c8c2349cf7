"""Fake group of ranks in lock-step, with drivers, a register and a bad network."""

from gooseberryyoke.expert import (
    ChangePhase,
    MapChange,
    MapRecord,
    MapSegment,
    RankMapState,
    ReadRecord,
    RecordSeen,
    Send,
    WriteRecord,
)
from gooseberryyoke.record import Record

__all__ = ["Engine", "MixedStepError", "RankGroup"]

FIRST = MapSegment(1, "first", 0)


class MixedStepError(AssertionError):
    """A step ran on two expert maps."""


class Engine(Record):
    """One rank's engine; it obeys whatever its agent passes on."""

    __slots__ = ("segments", "until_step", "loaded", "ran")

    def __init__(self, segments=(), until_step=0, loaded=frozenset({"first"}), ran=()):
        self.segments = segments
        self.until_step = until_step
        self.loaded = loaded
        self.ran = ran

    @property
    def next_step(self):
        return len(self.ran)

    def step(self):
        started = [part for part in self.segments if part.step <= self.next_step]
        assert started, f"step {self.next_step} was permitted without a map"
        return self.replace(ran=(*self.ran, started[-1].number))


class RankGroup:
    """
    The world of the failure tests; `actions` lists what may happen next.

    ``mail`` is never emptied: a message may arrive late, twice, crossed with
    another, or not at all. Register operations travel as mail too. A frozen
    driver is one that no action picks, or whose mail arrives much later.
    """

    def __init__(
        self,
        targets,
        rank_count=2,
        window_steps=1,
        margin_steps=1,
        restarts=0,
        last_step=4,
        agent_class=RankMapState,
        driver_class=MapChange,
    ):
        self.window_steps = window_steps
        self.margin_steps = margin_steps
        self.driver_class = driver_class
        self.restarts = restarts
        self.last_step = last_step
        self.version = 0
        self.record = MapRecord(FIRST)
        self.agents = tuple(
            agent_class(rank, (rank, 0), fence=0, present=FIRST).observe(
                0, 0, {"first"}
            )
            for rank in range(rank_count)
        )
        self.engines = (Engine(),) * rank_count
        self.drivers = tuple(
            driver_class(fence, rank_count, target, margin_steps)
            for fence, target in enumerate(targets, start=1)
        )
        self.mail = ()
        for number in range(len(self.drivers)):
            self._post(number)

    # What may happen

    def actions(self):
        found = [("mail", item) for item in self.mail]
        for rank in range(len(self.engines)):
            found += [("sync", rank), ("load", rank), ("lose_permit", rank)]
            if self._may_step(rank):
                found.append(("step", rank))
            if self.restarts:
                found.append(("restart", rank))
        return found

    def act(self, action):
        """Return the world after an action; this one stays as it is."""
        kind, subject = action
        world = object.__new__(type(self))
        world.__dict__.update(self.__dict__)
        getattr(world, f"_{kind}")(subject)
        return world

    def key(self):
        return (
            self.agents,
            self.engines,
            self.drivers,
            self.record,
            self.version,
            frozenset(self.mail),
            self.restarts,
        )

    def _may_step(self, rank):
        # Ranks exchange with all others within a step: none can enter a step
        # before all have entered the one before.
        engine = self.engines[rank]
        slowest = min(other.next_step for other in self.engines)
        limit = min(engine.until_step, slowest + 1, self.last_step)
        return engine.next_step < limit

    # The actions

    def _step(self, rank):
        engine = self.engines[rank].step()
        self.engines = _put(self.engines, rank, engine)
        step = engine.next_step - 1
        numbers = {other.ran[step] for other in self.engines if len(other.ran) > step}
        if len(numbers) > 1:
            raise MixedStepError(f"step {step} ran on maps {sorted(numbers)}")

    def _sync(self, rank):
        engine = self.engines[rank]
        agent = self._observe(rank)
        agent, permit = agent.permit(self.window_steps, engine.until_step)
        self.agents = _put(self.agents, rank, agent)
        segments = engine.segments + permit.segments
        engine = engine.replace(segments=segments, until_step=permit.until_step)
        self.engines = _put(self.engines, rank, engine)

    def _lose_permit(self, rank):
        engine = self.engines[rank]
        agent = self._observe(rank)
        agent, _ = agent.permit(self.window_steps, engine.until_step)
        self.agents = _put(self.agents, rank, agent)

    def _load(self, rank):
        agent, engine = self.agents[rank], self.engines[rank]
        wanted = {part.digest for part in (agent.staged, agent.present) if part}
        engine = engine.replace(loaded=engine.loaded | wanted)
        self.engines = _put(self.engines, rank, engine)
        agent = agent.replace(loaded=agent.loaded | wanted)
        self.agents = _put(self.agents, rank, agent)

    def _observe(self, rank):
        engine = self.engines[rank]
        return self.agents[rank].observe(
            engine.next_step, engine.until_step, engine.loaded
        )

    def _restart(self, rank):
        self.restarts -= 1
        old = self.agents[rank]
        fresh = type(old)(rank, (rank, old.incarnation[1] + 1))
        self.agents = _put(self.agents, rank, fresh)

    def _mail(self, item):
        target, content = item
        if isinstance(content, Send):
            agent, report = self.agents[content.rank].receive(content.message)
            self.agents = _put(self.agents, content.rank, agent)
            self._add(target, report.replace(refused=None))
        elif isinstance(content, WriteRecord):
            if content.version == self.version:
                self.version, self.record = self.version + 1, content.record
            self._add(target, RecordSeen(self.version, self.record))
        elif isinstance(content, ReadRecord):
            self._add(target, RecordSeen(self.version, self.record, content.tag))
        else:
            self._tell(target, content)

    def _tell(self, number, event):
        driver = self.drivers[number]
        if isinstance(event, RecordSeen):
            driver = driver.record_seen(event)
        else:
            driver = driver.report_seen(event)
        self.drivers = _put(self.drivers, number, driver)
        self._post(number)

    def _cancel(self, number):
        self.drivers = _put(self.drivers, number, self.drivers[number].cancel())
        self._post(number)

    def _post(self, number):
        for effect in self.drivers[number].poll():
            self._add(number, effect)

    def _add(self, number, content):
        if (number, content) not in self.mail:
            self.mail = (*self.mail, (number, content))

    # A network without faults, or one that reaches some ranks only

    def finish(self, number, rounds=40):
        """Let one driver work undisturbed while the ranks run on."""
        world = self
        for _ in range(rounds):
            world = world.run().exchange(number)
            if world.drivers[number].phase.final:
                return world
        return world

    def run(self, steps=1):
        """Let all ranks load, ask for permits and step, as far as they may."""
        world = self
        for _ in range(steps):
            for rank in range(len(world.engines)):
                world = world.act(("sync", rank)).act(("load", rank))
            for rank in range(len(world.engines)):
                if world._may_step(rank):
                    world = world.act(("step", rank))
        return world

    def exchange(self, number, ranks=None, register=True):
        """Deliver what a driver sends now to some ranks, and their answers."""
        world = self
        for effect in self.drivers[number].poll():
            is_send = isinstance(effect, Send)
            if is_send and ranks is not None and effect.rank not in ranks:
                continue
            if is_send or register:
                world = world.act(("mail", (number, effect)))
                world = world.act(("mail", world._answer(number, effect)))
        return world

    def until(self, number, phase, ranks=None):
        """Let a driver work until it has reached a phase."""
        world = self
        for _ in range(20):
            if world.drivers[number].phase is phase:
                return world
            world = world.act(("load", 0)).act(("load", 1)).exchange(number, ranks)
        raise AssertionError(f"{world.drivers[number]} did not reach {phase}")

    def _answer(self, number, effect):
        if isinstance(effect, Send):
            return number, self.agents[effect.rank].report()
        tag = effect.tag if isinstance(effect, ReadRecord) else None
        return number, RecordSeen(self.version, self.record, tag)

    def succeed(self, target=None):
        """Add a driver with the next fencing number; returns world and its place."""
        world = self.act(("nothing", None))
        number = len(world.drivers)
        driver = world.driver_class(
            number + 1, len(world.engines), target, world.margin_steps
        )
        world.drivers = (*world.drivers, driver)
        return world, number

    def _nothing(self, _):
        """Copy the world."""

    @property
    def phases(self):
        return [driver.phase for driver in self.drivers]

    @property
    def numbers_run(self):
        return [engine.ran for engine in self.engines]


def _put(items, place, item):
    return (*items[:place], item, *items[place + 1 :])


def assert_healthy(world):
    """Check that a successor brings all ranks to one map and the steps go on."""
    world, number = world.succeed()
    world.last_step += 12
    before = world.engines[0].next_step
    world = world.finish(number)
    assert world.drivers[number].phase is ChangePhase.DONE, world.drivers[number]
    for _ in range(6):
        world = world.finish(number, rounds=1)
    numbers = {agent.present.number for agent in world.agents}
    assert numbers == {world.record.present.number}
    assert world.engines[0].next_step > before
