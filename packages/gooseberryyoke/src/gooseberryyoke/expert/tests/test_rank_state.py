from gooseberryyoke.expert import (
    Abort,
    Commit,
    MapSegment,
    Promise,
    RankMapState,
    Retire,
    Stage,
)

LIFE = "life-1"
MAPS = {"first", "second", "third"}


def present_state():
    state = RankMapState(0, LIFE, fence=1, present=MapSegment(1, "first", 0))
    return state.observe(0, 0, MAPS)


def switched_state(step=10):
    state = present_state()
    for message in (
        Stage(1, LIFE, 1, 2, "second"),
        Promise(1, LIFE, 2, step),
        Commit(1, LIFE, 2, step),
    ):
        state, report = state.receive(message)
        assert report.refused is None
    return state


def refusal(state, message):
    after, report = state.receive(message)
    return report.refused


def test_late_stage_of_a_change_given_up_is_refused():
    """
    All streams of a group stop at one step, for a change that nobody decides.

    The driver gives a change up; its Stage and Promise arrive once more, late.
    Taken, the promise would hold the rank until the next driver comes.
    """
    state, _ = present_state().receive(Abort(1, LIFE, 2))
    assert refusal(state, Stage(1, LIFE, 1, 2, "second")) == "number"
    assert refusal(state, Promise(1, LIFE, 2, 10)) == "number"
    assert refusal(state, Stage(1, LIFE, 1, 3, "third")) is None


def test_next_change_waits_until_the_last_is_retired():
    """
    A rank doesn't know what to run before its switch.

    A second switch is staged before the first was passed. Committed, it would
    push out the map of the steps that are still to come before the first one.
    """
    state = switched_state()
    assert refusal(state, Stage(1, LIFE, 2, 3, "third")) == "unretired"
    _, permit = state.permit(20, 0)
    assert [(part.number, part.step) for part in permit.segments] == [(1, 0), (2, 10)]


def test_old_map_stays_until_the_rank_has_run_past_the_switch():
    """
    A rank drops the weights that its running step needs.

    It has entered the last step on the old map, and is asked to retire it.
    """
    state = switched_state()
    assert refusal(state.observe(10, 20, MAPS), Retire(1, LIFE, 2)) == "late"
    assert refusal(state.observe(11, 20, MAPS), Retire(1, LIFE, 2)) is None


def test_permit_stops_before_a_map_that_is_not_loaded():
    state = switched_state().replace(loaded=frozenset({"first"}))
    assert state.permit(20, 0)[1].until_step == 10
