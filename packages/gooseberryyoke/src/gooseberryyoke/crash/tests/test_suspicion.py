"""The load: servers end one after the other, for a part of a prompt or by chance."""

from math import inf

import pytest

from gooseberryyoke.crash import Suspicion


def ended(*ends_s, proof_s=-inf):
    suspicion = Suspicion(proof_s)
    for number, at_s in enumerate(ends_s):
        suspicion.add_end(f"s{number}", at_s)
    return suspicion


@pytest.mark.parametrize(
    ("ends_s", "count"),
    [
        ((), 0),
        ((100.0,), 1),
        ((100.0, 100.2, 100.49), 1),
        ((100.0, 100.5), 2),
        ((100.5, 100.0), 2),
        ((100.0, 100.3, 100.6, 100.9), 2),
    ],
)
def test_servers_that_end_together_count_once(ends_s, count):
    """A rack that goes takes several servers for one reason, which is no part's."""
    assert ended(*ends_s).count(101.0) == count


def test_a_life_counts_once_whoever_tells_of_it():
    """Each gateway notes the end of a server at another time."""
    suspicion = ended(100.0)
    assert not suspicion.add_end("s0", 102.0)
    assert suspicion.count(103.0) == 1


def test_a_proof_clears_the_ends_before_it_and_no_later_one():
    suspicion = ended(100.0, 101.0, 103.0)
    assert suspicion.prove(102.0)
    assert list(suspicion.ends_s) == ["s2"]
    assert not suspicion.prove(101.5)
    assert not suspicion.add_end("told late", 101.9)


@pytest.mark.parametrize(("ends", "count"), [(1, 0), (2, 0), (3, 1), (4, 2)])
def test_a_part_proven_lately_is_acted_on_from_its_third_end(ends, count):
    """Popular parts run at each server that ends, and must not be held for it."""
    suspicion = ended(*(101.0 + number for number in range(ends)), proof_s=100.0)
    assert suspicion.count(159.9) == count
    assert suspicion.count(160.0) == ends


@pytest.mark.parametrize(("ends", "count"), [(4, 0), (5, 1), (8, 1)])
def test_many_servers_that_end_together_hold_a_part_proven_lately(ends, count):
    """A part that begins to crash servers ended all of them, twice, before its third
    end by the count.
    """
    ends_s = [101.0 + 0.01 * number for number in range(ends)]
    assert ended(*ends_s, proof_s=100.0).count(102.0) == count


def test_gateways_that_try_at_once_close_a_part_no_later():
    """Two trials counted as one end, and eight ends as four: it was never closed."""
    suspicion, at_s, ends = ended(100.0), 100.0, 1
    while ends <= 20 and (at_s := suspicion.may_try_from_s(at_s)) < inf:
        for late_s in (0.0, 0.1):
            ends += suspicion.add_end(f"{at_s + late_s}", at_s + late_s)
    assert ends <= 5 + 3


@pytest.mark.parametrize(
    ("ends", "pause_s"), [(1, 1.0), (2, 30.0), (3, 120.0), (4, 600.0), (5, inf)]
)
def test_each_end_makes_the_pause_longer(ends, pause_s):
    """Each trial may cost a server, and its group some seconds."""
    last_s = 100.0 + ends - 1
    suspicion = ended(*(100.0 + number for number in range(ends)))
    assert suspicion.may_try_from_s(last_s) == last_s + pause_s


def test_ends_are_bounded_and_a_closed_part_stays_closed():
    """What gateways tell each other of one part must not grow with its ends."""
    suspicion = ended(*(100.0 + number for number in range(50)))
    assert sorted(suspicion.ends_s.values()) == [142.0 + n for n in range(8)]
    assert suspicion.may_try_from_s(1000.0) == inf


def test_a_trial_of_any_gateway_is_under_way_until_it_lapses():
    """A gateway that is killed never tells that its trial is over."""
    suspicion = ended(100.0)
    suspicion.trials_s.update(g1=104.0, g2=105.0)
    assert suspicion.trial_until_s(104.5) == 105.0
    assert suspicion.trial_until_s(105.0) is None
