import pytest

from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke_daemon.groups.group_calls import RoundEnded
from gooseberryyoke_daemon.groups.layout import layout_of, map_of

BY_RANK = [[[0, 2], [1]], [[1, 2], [0, 1]]]


def test_a_layout_becomes_a_map_and_back():
    expert_map = map_of(BY_RANK)
    assert expert_map == ExpertMap(2, [[[0], [1], [0, 1]], [[1], [0, 1]]])
    assert layout_of(expert_map) == [[[0, 2], [1, 2]], [[1], [0, 1]]]


@pytest.mark.parametrize("layer", [[0, 2**53], [-1, 0], [0, 2]], ids=str)
def test_experts_that_are_no_map_end_the_round(layer):
    # Guards against a driver that makes a list for each number up to an odd one, and
    # runs out of memory.
    with pytest.raises(RoundEnded, match="layer 1"):
        map_of([[[0], layer], [[0], [0]]])
