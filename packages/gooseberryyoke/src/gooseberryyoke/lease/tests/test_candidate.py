import pytest

from gooseberryyoke.lease import is_candidate


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 7, 8, 16, 31, 32, 33, 100])
def test_four_to_seven_members_compete_or_all_of_a_small_group(size):
    candidates = [rank for rank in range(size) if is_candidate(rank, size)]
    assert min(size, 4) <= len(candidates) <= 7


def test_candidates_are_spread_over_the_ranks():
    candidates = [rank for rank in range(32) if is_candidate(rank, 32)]
    assert candidates == [0, 8, 16, 24]


def test_a_group_whose_size_is_not_known_yet_has_candidates():
    assert is_candidate(0, 0)
