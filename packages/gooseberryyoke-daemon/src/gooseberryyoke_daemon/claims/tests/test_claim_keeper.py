import pytest
import trio
import trio.testing
from returns.result import Failure

from gooseberryyoke.claim import (
    AttemptLedger,
    RejectMayHaveRun,
    RejectMismatch,
    ReplayAnswer,
    Wait,
    make_stored_answer,
)
from gooseberryyoke.register import Unavailable
from gooseberryyoke_daemon.claims import (
    ClaimKeeper,
    ClaimLost,
    ClaimResolver,
    ClaimSweeper,
    Proceed,
)
from gooseberryyoke_daemon.replica.memory import MemoryReplicas
from gooseberryyoke_daemon.testing.seeding import seeded_scheduler

BARRED_FIRST = (21, 46, 107)
"""Orders in which one entry bars the other's attempt between claim and dispatch."""
ANSWER = make_stored_answer(201, [], b"number 7", 100)


class Agent:
    """An agent with its ledger, and a server that counts its runs."""

    def __init__(self, name):
        self.name = name
        self.lives = 0
        self.runs = 0
        self.is_away = False
        self.restart()

    def restart(self):
        self.lives += 1
        self.ledger = AttemptLedger(f"life-{self.lives}")

    async def run(self, attempt, incarnation, duration_s=0.0):
        taken = self.ledger.start(attempt, incarnation, trio.current_time())
        if isinstance(taken, Failure):
            return taken
        self.runs += 1
        ledger = self.ledger
        await trio.sleep(duration_s)
        ledger.finish(attempt, ANSWER, trio.current_time())
        return ANSWER

    async def ask(self, claim):
        await trio.lowlevel.checkpoint()
        if self.is_away:
            return None
        return self.ledger.bar(claim.attempt, claim.incarnation, trio.current_time())


class Entry:
    """The part of an entry between a request and its agent."""

    def __init__(self, name, client, agent):
        self.name = name
        self.agent = agent
        self.keeper = ClaimKeeper(client, trio.current_time)
        self.resolver = ClaimResolver(self.keeper, agent.ask)
        self.attempts = 0

    async def reserve(self, key="k", digest="d"):
        decision = await self.resolver.resolve("acc", key, digest, timeout_s=10.0)
        if not isinstance(decision.value_or(None), Proceed):
            return decision
        self.attempts += 1
        return await self.keeper.reserve(
            "acc",
            key,
            digest,
            f"{self.name}-{self.attempts}",
            self.agent.name,
            self.agent.ledger.incarnation,
            decision.unwrap().version,
        )

    async def serve(self, key="k", digest="d", duration_s=0.0):
        while True:
            held = await self.reserve(key, digest)
            claim = getattr(held.value_or(None), "claim", None)
            if isinstance(held, Failure) and isinstance(held.failure(), ClaimLost):
                continue
            if claim is None:
                return held.value_or(held)
            answer = await self.agent.run(claim.attempt, claim.incarnation, duration_s)
            if isinstance(answer, Failure):
                # Another entry has barred the attempt before it began.
                continue
            await self.keeper.settle(held.unwrap(), answer)
            return ReplayAnswer(answer)


def run(main, **options):
    async def body():
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                replicas = MemoryReplicas(nursery, **options)
                await replicas.start_all()
                agent = Agent("agent-1")
                entries = [
                    Entry(name, await replicas.client(name), agent)
                    for name in ("e1", "e2")
                ]
                await main(replicas, agent, *entries)
                nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_repeat_gets_the_kept_answer():
    async def main(replicas, agent, e1, e2):
        assert await e1.serve() == ReplayAnswer(ANSWER)
        assert await e2.serve() == ReplayAnswer(ANSWER)
        assert agent.runs == 1

    run(main)


def test_same_key_with_another_body_is_a_mismatch():
    async def main(replicas, agent, e1, e2):
        await e1.serve()
        assert await e2.serve(digest="other") == RejectMismatch()
        assert agent.runs == 1

    run(main)


def test_same_key_at_two_entries_at_once_runs_once():
    """
    Both callers get the one answer. They send the same request with the same key
    to two entries at the same instant; both find no claim, one reservation wins,
    and the other entry waits for the winner's run.
    """

    async def main(replicas, agent, e1, e2):
        answers = []

        async def serve(entry):
            answers.append(await entry.serve(duration_s=0.5))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, e1)
            nursery.start_soon(serve, e2)
        assert answers[0] == ReplayAnswer(ANSWER)
        assert agent.runs == 1
        assert [type(answer) for answer in answers] == [ReplayAnswer, ReplayAnswer]

    for seed in (*range(20), *BARRED_FIRST):
        with seeded_scheduler(seed):
            run(main, seed=0, latency_s=0.004)


def test_claim_never_delivered_is_released():
    """
    The repeat runs instead of being told "may have run". The first entry died
    between claim and dispatch; its agent bars the attempt, which proves that it
    never will.
    """

    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        assert await e2.serve() == ReplayAnswer(ANSWER)
        late = await agent.run(held.claim.attempt, held.claim.incarnation)
        assert isinstance(late, Failure)
        assert agent.runs == 1

    run(main)


def test_entry_that_died_after_dispatch_leaves_the_answer_to_the_repeat():
    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        await agent.run(held.claim.attempt, held.claim.incarnation)
        assert await e2.serve() == ReplayAnswer(ANSWER)
        assert agent.runs == 1

    run(main)


def test_repeat_waits_while_the_attempt_runs():
    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                agent.run, held.claim.attempt, held.claim.incarnation, 60.0
            )
            await trio.testing.wait_all_tasks_blocked()
            assert (await e2.reserve()).unwrap() == Wait()
            nursery.cancel_scope.cancel()

    run(main)


def test_restarted_agent_proves_nothing():
    """
    The repeat is told "may have run" and nothing runs again. The agent ran the
    attempt and restarted before its answer was settled; its new life can't know.
    """

    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        await agent.run(held.claim.attempt, held.claim.incarnation)
        agent.restart()
        assert isinstance(await e2.serve(), RejectMayHaveRun)
        assert agent.runs == 1

    run(main)


def test_agent_that_is_away_proves_nothing():
    async def main(replicas, agent, e1, e2):
        await e1.reserve()
        agent.is_away = True
        assert isinstance(await e2.serve(), RejectMayHaveRun)
        agent.is_away = False
        assert await e2.serve() == ReplayAnswer(ANSWER)
        assert agent.runs == 1

    run(main)


def test_entry_thawed_after_its_claim_was_released_runs_nothing():
    """
    One run, although two entries hold the claim one after the other. The first
    freezes before dispatch, the second bars its attempt, reserves and runs; the
    first thaws, dispatches, is refused, and its settlement is refused as well.
    """

    async def main(replicas, agent, e1, e2):
        frozen = (await e1.reserve()).unwrap()
        await e2.serve()
        late = await agent.run(frozen.claim.attempt, frozen.claim.incarnation)
        assert isinstance(late, Failure)
        settled = await e1.keeper.settle(frozen, None)
        assert isinstance(settled.failure(), ClaimLost)
        assert await e1.serve() == ReplayAnswer(ANSWER)
        assert agent.runs == 1

    run(main)


def test_sweep_deletes_after_the_retention_only():
    async def main(replicas, agent, e1, e2):
        await e1.serve("old")
        await trio.sleep(100)
        await e1.serve("new")
        client = await replicas.client("sweeper")
        sweeper = ClaimSweeper(client, trio.current_time, lambda: 50.0)
        assert await sweeper.sweep(50.0) == 1
        assert (await e2.keeper.lookup("acc", "old")).unwrap().claim is None
        assert (await e2.keeper.lookup("acc", "new")).unwrap().claim is not None
        states = [r.acceptor.state for r in replicas.running.values()]
        assert [len(state.slots) for state in states] == [1, 1, 1]

    run(main)


def test_tombstone_left_by_a_release_is_swept_the_second_time():
    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        await e1.keeper.release(held)
        client = await replicas.client("sweeper")
        sweeper = ClaimSweeper(client, trio.current_time, lambda: 50.0)
        assert [await sweeper.sweep(50.0) for _ in range(2)] == [0, 1]
        assert not replicas.running["r1"].acceptor.state.slots

    run(main)


def test_reservation_over_a_swept_tombstone_succeeds():
    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        released = (await e1.keeper.release(held)).unwrap()
        client = await replicas.client("sweeper")
        key = next(iter(replicas.running["r1"].acceptor.state.slots))
        await client.collect(key, released.version, 5.0)
        again = await e1.keeper.reserve(
            "acc", "k", "d", "a9", "agent-1", "life-1", released.version
        )
        assert again.unwrap().claim.attempt == "a9"

    run(main)


def test_release_that_another_repeat_has_overtaken_takes_nothing_over():
    """
    The second repeat does not write over the first one's reservation. Both barred
    the dead entry's attempt; the first released and reserved while the second
    was about to release.
    """

    async def main(replicas, agent, e1, e2):
        await e1.reserve()
        overtaken = []

        async def ask(claim):
            word = await agent.ask(claim)
            if not overtaken:
                overtaken.append((await e1.reserve()).unwrap())
            return word

        e2.resolver = ClaimResolver(e2.keeper, ask)
        decision = await e2.resolver._once("acc", "k", "d")
        assert decision.unwrap() == Wait()
        found = (await e2.keeper.lookup("acc", "k")).unwrap()
        assert found == overtaken[0]

    run(main)


def test_reservation_of_another_is_not_taken_for_ones_own():
    """
    An entry never dispatches under another's reservation. Its own write's answer
    is lost; what stands there when it looks again is another entry's claim.
    """

    async def main(replicas, agent, e1, e2):
        theirs = (await e1.reserve()).unwrap()
        registers = e2.keeper._registers

        async def unknown(*args):
            return Failure(Unavailable(True, "lost"))

        registers.write = unknown
        result = await e2.keeper.reserve("acc", "k", "d", "a9", "agent-1", "life-1", 0)
        assert result.failure() == ClaimLost(theirs)

    run(main)


@pytest.mark.parametrize("step", ["reserve", "run", "settle"])
@pytest.mark.parametrize("lost", ["r1", "r2", "r3"])
def test_replica_lost_at_each_step_changes_nothing(step, lost):
    """
    One run and the same answer, whichever replica loses its disk between claim,
    dispatch, answer and settlement, and another is killed after the repair.
    """

    async def lose(replicas):
        replicas.kill(lost)
        replicas.lose_disk(lost)
        await replicas.start(lost)
        await replicas.wait_ready(lost)
        other = next(seat for seat in replicas.seats if seat != lost)
        replicas.kill(other)

    async def main(replicas, agent, e1, e2):
        held = (await e1.reserve()).unwrap()
        if step == "reserve":
            await lose(replicas)
        answer = await agent.run(held.claim.attempt, held.claim.incarnation)
        if step == "run":
            await lose(replicas)
        await e1.keeper.settle(held, answer)
        if step == "settle":
            await lose(replicas)
        assert await e2.serve() == ReplayAnswer(ANSWER)
        assert agent.runs == 1

    run(main)
