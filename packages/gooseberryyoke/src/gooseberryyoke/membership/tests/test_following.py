from collections import Counter
from itertools import combinations

from gooseberryyoke.membership.following import FollowMajority, FollowParent
from gooseberryyoke.record import Record

CONTROLS = [f"10.0.0.{number}:70" for number in range(1, 6)]


class Entry(Record):
    __slots__ = ("internal", "data_centre", "is_open")

    def __init__(self, internal, data_centre="a", is_open=True):
        self.internal = internal
        self.data_centre = data_centre
        self.is_open = is_open


def entries(count, data_centres=("a",), is_open=True):
    return [
        Entry(f"10.7.0.{n}:70", data_centres[n % len(data_centres)], is_open)
        for n in range(count)
    ]


def followers(count, known):
    plans = [FollowMajority(f"g{number}") for number in range(count)]
    for plan in plans:
        plan.answered(known[0])
    return plans


def test_whatever_minority_is_lost_a_follower_hears_one_that_is_well():
    # Guards against a gateway that hears of no change while all it follows are down.
    for plan in followers(50, CONTROLS):
        wanted = plan.wanted(CONTROLS, 0.0)
        assert all(wanted - set(lost) for lost in combinations(CONTROLS, 2))


def test_control_processes_share_the_followers():
    # Guards against contacts that keep all the followers that came to them first.
    counts = Counter()
    for plan in followers(300, CONTROLS):
        counts.update(plan.wanted(CONTROLS, 0.0))
    assert sum(counts.values()) == 900
    assert max(counts.values()) < 1.3 * min(counts.values())


def test_one_that_does_not_answer_is_replaced_and_taken_back_later():
    plan = followers(1, CONTROLS)[0]
    lost = min(plan.wanted(CONTROLS, 0.0))
    plan.failed(lost, 0.0)
    without = plan.wanted(CONTROLS, 1.0)
    assert lost not in without
    assert len(without) == 3
    assert lost in plan.wanted(CONTROLS, 5.0)


def test_all_contacts_are_tried_until_one_has_answered():
    # Guards against a start that waits for a contact that is down.
    plan = FollowMajority("g1")
    assert plan.wanted(CONTROLS[:3], 0.0) == set(CONTROLS[:3])
    plan.answered(CONTROLS[0])
    assert len(plan.wanted(CONTROLS[:3], 0.0)) == 2


def test_ranks_spread_over_the_open_gateways_of_their_data_centre():
    # Guards against one gateway, or the control processes, with all ranks to tell.
    counts = Counter()
    there = [*entries(12, "ab"), Entry("10.7.0.99:70", "a", is_open=False)]
    for number in range(240):
        plan = FollowParent(f"r{number}", "a")
        plan.entries = there
        (parent,) = plan.wanted(CONTROLS, 0.0)
        counts[parent] += 1
    assert set(counts) == {
        entry.internal for entry in there if entry.data_centre == "a"
    } - {"10.7.0.99:70"}
    assert max(counts.values()) < 2 * min(counts.values())


def test_a_gateway_s_end_moves_only_those_that_followed_it():
    there = entries(12)
    for number in range(100):
        plan = FollowParent(f"r{number}", "a")
        plan.entries = there
        before = plan.wanted(CONTROLS, 0.0)
        plan.entries = there[1:]
        assert plan.wanted(CONTROLS, 0.0) == before or before == {there[0].internal}


def test_a_rank_asks_a_contact_only_while_no_gateway_answers():
    plan = FollowParent("r1", "a")
    first = plan.wanted(CONTROLS[:3], 0.0)
    assert len(first) == 1
    assert first <= set(CONTROLS[:3])
    plan.failed(min(first), 0.0)
    assert plan.wanted(CONTROLS[:3], 0.0) != first
    plan.entries = entries(2)
    for _ in range(2):
        assert plan.wanted(CONTROLS[:3], 0.0) <= {e.internal for e in plan.entries}
        plan.failed(min(plan.wanted(CONTROLS[:3], 0.0)), 0.0)
    assert plan.wanted(CONTROLS[:3], 0.0) <= set(CONTROLS[:3])


def test_a_rank_that_reaches_no_gateway_ends_up_at_a_contact():
    # Guards against a rank that tries one gateway after the other for ever, and hears
    # of nothing: all refuse, or are cut off from it.
    plan = FollowParent("r1", "a")
    plan.entries = entries(39)
    now, at_contact_s = 0.0, 0.0
    while now < 300.0:
        (parent,) = plan.wanted(CONTROLS[:3], now)
        if parent in CONTROLS:
            plan.answered(parent)
            at_contact_s += 0.25 * (now > 100.0)
        else:
            plan.failed(parent, now)
        now += 0.25
    assert at_contact_s > 0.75 * 200.0
