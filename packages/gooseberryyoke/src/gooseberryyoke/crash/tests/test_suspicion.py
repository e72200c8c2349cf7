"""Test crash histories of servers that crash because of a part or by chance."""

from math import inf

import pytest

from gooseberryyoke.crash import Suspicion


def crashed(*crashes_s, last_success_s=-inf):
    suspicion = Suspicion(last_success_s)
    for number, at_s in enumerate(crashes_s):
        suspicion.add_crash(f"s{number}", at_s)
    return suspicion


@pytest.mark.parametrize(
    ("crashes_s", "count"),
    [
        ((), 0),
        ((100.0,), 1),
        ((100.0, 100.2, 100.49), 1),
        ((100.0, 100.5), 2),
        ((100.5, 100.0), 2),
        ((100.0, 100.3, 100.6, 100.9), 2),
    ],
)
def test_simultaneous_crashes_count_once(crashes_s, count):
    """A rack failure stops several servers for a reason unrelated to any part."""
    assert crashed(*crashes_s).crash_count(101.0) == count


def test_an_incarnation_counts_once_whichever_gateway_reports_it():
    """Each gateway records the crash of a server at a different time."""
    suspicion = crashed(100.0)
    assert not suspicion.add_crash("s0", 102.0)
    assert suspicion.crash_count(103.0) == 1


def test_a_success_clears_the_crashes_before_it_and_no_later_one():
    suspicion = crashed(100.0, 101.0, 103.0)
    assert suspicion.record_success(102.0)
    assert list(suspicion.crashes_s) == ["s2"]
    assert not suspicion.record_success(101.5)
    assert not suspicion.add_crash("told late", 101.9)


@pytest.mark.parametrize(("crashes", "count"), [(1, 0), (2, 0), (3, 1), (4, 2)])
def test_a_part_with_a_recent_success_is_suspected_from_its_third_crash(crashes, count):
    """Popular parts run on each server that crashes, and must not be blamed for it."""
    suspicion = crashed(
        *(101.0 + number for number in range(crashes)), last_success_s=100.0
    )
    assert suspicion.crash_count(159.9) == count
    assert suspicion.crash_count(160.0) == crashes


@pytest.mark.parametrize(("crashes", "count"), [(4, 0), (5, 1), (8, 1)])
def test_many_simultaneous_crashes_make_a_popular_part_suspected(crashes, count):
    """
    Simultaneous crashes must not all count as one.

    When they did, a harmful part crashed all servers twice before three crashes were
    counted.
    """
    crashes_s = [101.0 + 0.01 * number for number in range(crashes)]
    assert crashed(*crashes_s, last_success_s=100.0).crash_count(102.0) == count


def test_simultaneous_trials_of_two_gateways_do_not_delay_the_permanent_refusal():
    """
    The crashes of simultaneous trials must count separately.

    When two simultaneous trials counted as one crash, the eight crashes that are kept
    counted as four, and the part was never refused for good.
    """
    suspicion, at_s, crashes = crashed(100.0), 100.0, 1
    while crashes <= 20 and (at_s := suspicion.next_trial_s(at_s)) < inf:
        for late_s in (0.0, 0.1):
            crashes += suspicion.add_crash(f"{at_s + late_s}", at_s + late_s)
    assert crashes <= 5 + 3


@pytest.mark.parametrize(
    ("crashes", "cooldown_s"), [(1, 1.0), (2, 3.0), (3, 120.0), (4, 600.0), (5, inf)]
)
def test_each_crash_makes_the_cooldown_longer(crashes, cooldown_s):
    """Each trial may crash a server, and stop its group for some seconds."""
    last_s = 100.0 + crashes - 1
    suspicion = crashed(*(100.0 + number for number in range(crashes)))
    assert suspicion.next_trial_s(last_s) == last_s + cooldown_s


def test_crashes_are_bounded_and_a_refused_part_stays_refused():
    """The records that gateways exchange must not grow with the number of crashes."""
    suspicion = crashed(*(100.0 + number for number in range(50)))
    assert sorted(suspicion.crashes_s.values()) == [142.0 + n for n in range(8)]
    assert suspicion.next_trial_s(1000.0) == inf


def test_a_trial_of_any_gateway_is_in_progress_until_it_expires():
    """A gateway that is killed never announces the end of its trial."""
    suspicion = crashed(100.0)
    suspicion.trial_deadlines_s.update(g1=104.0, g2=105.0)
    assert suspicion.trial_until_s(104.5) == 105.0
    assert suspicion.trial_until_s(105.0) is None
