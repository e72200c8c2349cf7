import pytest

from gooseberryyoke.expert import ChangePhase, Commit, Promise, Restore, Send, Stage
from gooseberryyoke.expert.tests import careless
from gooseberryyoke.expert.tests.rank_group import (
    MixedStepError,
    RankGroup,
    assert_healthy,
)


def deliver(world, number, kind, rank=None):
    """Deliver one message of a kind that was posted at any time."""
    found = [
        item
        for item in world.mail
        if item[0] == number
        and isinstance(item[1], Send)
        and isinstance(item[1].message, kind)
        and rank in (None, item[1].rank)
    ]
    return world.act(("mail", found[-1]))


def rank_without_promise(**parts):
    """
    Draws go on, on the old map, although a change was begun.

    Both ranks have loaded the new map; the promise is asked of rank 0 and lost
    on the way to rank 1. Rank 0 comes to its step and waits there.
    """
    world = RankGroup(["second"], last_step=20, **parts)
    world = world.until(0, ChangePhase.PROMISING)
    for _ in range(4):
        world = world.exchange(0, ranks=[0]).run(2)
    assert world.drivers[0].phase is ChangePhase.PROMISING
    assert {number for ran in world.numbers_run for number in ran} == {1}
    world = world.act(("cancel", 0)).finish(0)
    assert world.drivers[0].phase is ChangePhase.ABORTED
    assert len(world.run(4).numbers_run[0]) > len(world.numbers_run[0])


def rank_without_decision(**parts):
    """
    A pause in a stream, but no step with two maps.

    All ranks have promised and the switch is written. Rank 0 hears of it, runs
    up to the switch and on; rank 1 has not heard and must wait at its promise.
    """
    world = RankGroup(["second"], last_step=20, **parts)
    world = world.until(0, ChangePhase.DECIDING).exchange(0)
    world = world.exchange(0, ranks=[0]).run(6)
    hold = world.drivers[0].hold_step
    assert [len(ran) for ran in world.numbers_run] == [hold + 1, hold]
    assert world.finish(0).drivers[0].phase is ChangePhase.DONE


def rank_past_the_promise(**parts):
    """
    A rank hears of the switch step too late.

    The driver names a step; before the promise reaches rank 1, the ranks have
    run up to that step and rank 1 was permitted to run it on the old map.
    """
    world = RankGroup(["second"], last_step=20, **parts)
    world = world.until(0, ChangePhase.PROMISING).run()
    assert world.drivers[0].hold_step == world.engines[1].next_step
    world = world.act(("sync", 1))
    world = world.exchange(0).exchange(0).finish(0).run(3)
    assert world.drivers[0].phase is ChangePhase.DONE


def abort_in_doubt(**parts):
    """
    The answer to the decision's write is lost, and a cancel comes.

    The write is still on its way. If the driver released the ranks, they would
    run past the switch on the old map, the write would land, and an agent
    restarted afterwards would be restored to the new map.
    """
    world = RankGroup(["second"], last_step=20, restarts=1, **parts)
    world = world.until(0, ChangePhase.DECIDING)
    write = (0, world.drivers[0].poll()[0])
    world = world.act(("cancel", 0)).exchange(0, register=False).run(4)
    world = world.act(("mail", write)).act(("restart", 0))
    world, successor = world.succeed()
    world = world.finish(successor, rounds=12).run(4)
    assert_healthy(world)


def decision_after_takeover(**parts):
    """
    The holder of the lease freezes with its decision on the wire.

    Its successor finds nothing decided and releases the ranks. Then the write
    arrives. Had it been taken, the register would name a switch that the ranks
    have passed on the old map.
    """
    world = RankGroup(["second", None], last_step=20, restarts=1, **parts)
    world = world.until(0, ChangePhase.DECIDING)
    write = (0, world.drivers[0].poll()[0])
    world = world.finish(1).run(2).act(("mail", write))
    assert world.record.present.digest == "first"
    assert_healthy(world)


def thawed_driver_restores(**parts):
    """
    A driver that slept through a change meets an agent without memory.

    The driver's successor has switched the group. Rank 0's agent restarts and
    has forgotten the successor's fencing number; the old driver wakes up, is
    cut off from rank 1, and offers rank 0 the map that it remembers.
    """
    world = RankGroup(["second", "third"], last_step=40, restarts=1, **parts)
    world = world.until(0, ChangePhase.STAGING).exchange(0)
    world = world.finish(1).act(("restart", 0))
    assert world.drivers[1].phase is ChangePhase.DONE
    for _ in range(4):
        world = world.exchange(0, ranks=[0])
    world = world.run(3)
    assert world.drivers[0].phase is ChangePhase.SUPERSEDED
    assert_healthy(world)


def message_to_an_earlier_life(**parts):
    """
    A message is overtaken by two restarts and a change.

    The first driver restores rank 0's agent; the message is doubled, and its
    double is late. The group is switched by a successor, the agent restarts
    again, and the double arrives with nothing in memory to compare it with.
    """
    world = RankGroup(["second", "third"], last_step=40, restarts=2, **parts)
    world = world.until(0, ChangePhase.STAGING).act(("restart", 0)).exchange(0)
    world = world.exchange(0).exchange(0)
    world = world.finish(1).act(("restart", 0))
    world = deliver(world, 0, Restore, rank=0).run(3)
    assert_healthy(world)


def report_of_an_ended_life(**parts):
    """
    A promise is forgotten, and its report arrives afterwards.

    Rank 0 promises; its agent restarts and is restored, and runs on. The report
    of the promise arrives late. Counted, it would complete the decision.
    """
    world = RankGroup(["second"], last_step=40, restarts=1, **parts)
    world = world.until(0, ChangePhase.PROMISING)
    world = deliver(world, 0, Promise, rank=0)
    promised = (0, world.agents[0].report())
    world = world.act(("restart", 0)).exchange(0, ranks=[0])
    for _ in range(3):
        world = world.exchange(0, ranks=[0])
    world = world.exchange(0, ranks=[1]).act(("sync", 0)).act(("step", 0)).run(4)
    world = world.act(("mail", promised)).exchange(0).run(4)
    assert_healthy(world.finish(0).run(3))


def thawed_driver_stages(**parts):
    """
    A group loads weights that nobody wants, at the expense of its requests.

    A driver freezes with its messages on the wire; its successor finds all
    ranks in order and is done. Then the messages arrive, and the engine would
    load whatever its agent passes on: the agent itself must refuse.
    """
    world = RankGroup(["second", None], last_step=40, **parts)
    world = world.until(0, ChangePhase.STAGING).exchange(0)
    world = world.finish(1)
    assert world.drivers[1].phase is ChangePhase.DONE
    world = deliver(world, 0, Stage, rank=0).run()
    assert world.engines[0].loaded == {"first"}


def engine_not_heard_yet(**parts):
    """
    A restarted agent promises away what its engine is about to run.

    The earlier life has permitted four steps; rank 1 has none yet. The new life
    is restored, has the new map loaded, and is asked for a promise before its
    engine has said up to where it may run.
    """
    world = RankGroup(["second"], window_steps=4, last_step=40, restarts=1, **parts)
    world = world.act(("sync", 0)).act(("restart", 0))
    for _ in range(12):
        world = world.act(("load", 0)).act(("load", 1)).exchange(0)
    assert_healthy(world.run(4).finish(0).run(4))


def permit_lost(**parts):
    """
    An engine doesn't hear of the switch, but of the steps after it.

    The agent's answer with the switch in it is lost. The engine asks again, and
    must be told of all steps that it holds no permit for, not of newer ones.
    """
    world = RankGroup(["second"], last_step=40, **parts).run(2)
    world = world.until(0, ChangePhase.DECIDING).exchange(0).exchange(0)
    hold = world.drivers[0].hold_step
    for _ in range(8):
        ready = world.engines[0].next_step == hold == world.engines[0].until_step
        world = world.act(("lose_permit", 0)) if ready else world
        world = world.run()
    assert len(world.numbers_run[0]) > hold
    assert_healthy(world)


def agent_without_memory(**parts):
    """
    A pause after an agent's restart, until the driver has told it the map.

    The group has switched. Rank 0's agent restarts; its engine asks for more
    steps. Guessing the first map would mix two maps in one step.
    """
    world = RankGroup(["second"], last_step=40, restarts=1, **parts)
    world = world.finish(0).act(("restart", 0))
    ran = world.numbers_run[0]
    assert len(world.run(4).numbers_run[0]) <= len(ran) + 1
    assert_healthy(world.run(4))


@pytest.mark.parametrize(
    "scenario, without",
    [
        (rank_without_promise, {"driver_class": careless.MajorityDriver}),
        (rank_without_decision, {"agent_class": careless.NoHoldAgent}),
        (rank_past_the_promise, {"agent_class": careless.LateAgent}),
        (abort_in_doubt, {"driver_class": careless.HastyAbortDriver}),
        (decision_after_takeover, {"driver_class": careless.NoClaimDriver}),
        (thawed_driver_restores, {"driver_class": careless.HastyRestoreDriver}),
        (message_to_an_earlier_life, {"agent_class": careless.NoLifeAgent}),
        (report_of_an_ended_life, {"driver_class": careless.OldLifeDriver}),
        (thawed_driver_stages, {"agent_class": careless.NoFenceAgent}),
        (engine_not_heard_yet, {"agent_class": careless.DeafAgent}),
        (permit_lost, {"agent_class": careless.NewStepsAgent}),
        (agent_without_memory, {"agent_class": careless.ForgettingAgent}),
    ],
)
def test_safeguard_holds_and_is_needed(scenario, without):
    """
    Each scenario's docstring tells the failure.

    It must end well with the real parts, and badly when the one safeguard that
    it is about is taken out; otherwise it would prove nothing.
    """
    scenario()
    with pytest.raises(AssertionError):
        scenario(**without)


def test_undisturbed_changes_follow_each_other():
    world = RankGroup(["second"], rank_count=4, last_step=60).finish(0)
    world, number = world.succeed("third")
    world = world.finish(number).run(2)
    assert world.phases == [ChangePhase.DONE, ChangePhase.DONE]
    assert {ran[-1] for ran in world.numbers_run} == {world.record.present.number}


def test_decided_change_is_completed_by_the_successor():
    """
    The driver dies after the switch is written and before any rank knows.

    All ranks wait at their promise. The successor finds the decision in the
    register, tells the ranks, and they go on; it must not abort.
    """
    world = RankGroup(["second", None], last_step=40)
    world = world.until(0, ChangePhase.DECIDING)
    world = world.act(("mail", (0, world.drivers[0].poll()[0]))).run(4)
    world = world.finish(1).run(2)
    assert world.drivers[1].phase is ChangePhase.DONE
    assert {ran[-1] for ran in world.numbers_run} == {2}


def test_commit_doubled_and_late_changes_nothing():
    world = RankGroup(["second"], last_step=60).finish(0)
    world, number = world.succeed("third")
    world = world.finish(number)
    agents = world.agents
    assert deliver(world, 0, Commit).agents == agents


def test_mixed_step_is_noticed():
    world = RankGroup(["second"]).run()
    engine = world.engines[1]
    part = engine.segments[0].replace(number=9)
    world.engines = (
        world.engines[0],
        engine.replace(segments=(part,), until_step=2, ran=()),
    )
    with pytest.raises(MixedStepError):
        world.act(("step", 1))


def test_driver_learns_of_a_restarted_agent():
    """
    A change never ends after an agent's restart, and the group waits for it.

    The new life has seen no fencing number, so its refusal carries a lower one
    than the driver's. The driver once dropped all reports with lower numbers,
    this refusal among them, and went on writing to the life that had ended.
    """
    world = RankGroup(["second"], last_step=40, restarts=1)
    world = world.until(0, ChangePhase.PROMISING).act(("restart", 0)).finish(0)
    assert world.drivers[0].phase is ChangePhase.DONE
