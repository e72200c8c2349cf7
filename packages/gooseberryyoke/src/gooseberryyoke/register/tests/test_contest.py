import pytest

from gooseberryyoke.register.changes import Founded, Joined, Reclaimed, SeatTaken
from gooseberryyoke.register.identity import Incarnation, Stamp
from gooseberryyoke.register.messages import SeatReport
from gooseberryyoke.register.repair import Contest, judge_contest
from gooseberryyoke.register.state import ReplicaState

FORMER = Incarnation(1, "former")
FIRST = Incarnation(2, "first")
SECOND = Incarnation(3, "second")


def _former_holder():
    state = ReplicaState()
    state.apply(Founded({"1": FORMER}))
    state.seat, state.incarnation = "1", FORMER
    state.apply(Reclaimed(Incarnation(4, "again"), FORMER))
    return state


def _report(seat, *confirmed):
    stamp = Stamp(seat, Incarnation(1, seat), {})
    return SeatReport(stamp, {"1": [FORMER, *confirmed]})


@pytest.mark.parametrize(
    ("confirmed", "withdrawn", "expected"),
    [
        ([], [], Contest.WON),
        ([FIRST], [], Contest.OPEN),
        ([FIRST], [FIRST], Contest.WON),
        ([FIRST, SECOND], [SECOND], Contest.OPEN),
        ([FIRST, SECOND], [FIRST, SECOND], Contest.WON),
    ],
)
def test_a_withdrawn_holder_stands_in_nobody_s_way(confirmed, withdrawn, expected):
    # Guards against a seat of which nobody can tell who holds it: one of two others
    # has lost its disk, the second has confirmed a holder that never joined.
    reports = [_report("2", *confirmed)]
    assert judge_contest(_former_holder(), 3, reports, withdrawn) is expected


def test_one_that_joined_before_the_withdrawn_one_holds_the_seat():
    # Guards against votes on an outdated folder: the holder that withdraws had taken
    # the seat from one that has voted.
    reports = [_report("2", FIRST, SECOND), _report("3", FIRST, SECOND)]
    contest = judge_contest(_former_holder(), 3, reports, {SECOND})
    assert contest is Contest.LOST


def test_a_snapshot_keeps_every_confirmed_identity():
    # Guards against a log cut short that forgets who had joined before the latest.
    state = _former_holder()
    for incarnation in (SECOND, FIRST, SECOND):
        state.apply(SeatTaken("2", incarnation))
    state.apply(Joined())
    copy = ReplicaState()
    for change in state.dump():
        copy.apply(change)
    assert copy.joined == state.joined
    assert copy.joined["2"] == [FIRST, SECOND]
