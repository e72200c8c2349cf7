from random import Random

import pytest

from gooseberryyoke_daemon.groups.count_marks import CountMarks
from gooseberryyoke_daemon.groups.packing import pack, unpack


def test_the_first_look_tells_no_growth():
    assert CountMarks().growth("7-1", "", 1, [[5, 6]]) is None


def test_counts_are_told_as_growth_since_a_mark():
    marks = CountMarks()
    marks.growth("7-1", "", 1, [[5, 6], [1, 0]])
    assert marks.growth("7-2", "7-1", 1, [[9, 6], [1, 3]]) == [[4, 0], [0, 3]]


def test_a_look_whose_reply_was_lost_is_counted_with_the_next():
    # The driver asks all ranks; one of them doesn't answer, so the whole look is void.
    # The others have noted its mark already. The next look names the mark before it,
    # and nothing that was counted in between is missing from the driver's rates.
    marks = CountMarks()
    marks.growth("7-1", "", 1, [[5]])
    marks.growth("7-2", "7-1", 1, [[9]])
    assert marks.growth("7-3", "7-1", 1, [[10]]) == [[5]]


@pytest.mark.parametrize(
    ("epoch", "layers"), [(2, [[9, 9]]), (1, [[9]]), (1, [[9, 9], [9, 9]])]
)
def test_counts_of_another_epoch_or_model_are_not_compared(epoch, layers):
    marks = CountMarks()
    marks.growth("7-1", "", 1, [[5, 6]])
    assert marks.growth("7-2", "7-1", epoch, layers) is None


def test_an_engine_that_starts_again_has_not_grown_backwards():
    marks = CountMarks()
    marks.growth("7-1", "", 1, [[500]])
    assert marks.growth("7-2", "7-1", 1, [[3]]) == [[0]]


def test_old_marks_are_forgotten():
    marks = CountMarks()
    for number in range(1, 7):
        marks.growth(f"7-{number}", "", 1, [[number]])
    assert marks.growth("7-7", "7-1", 1, [[9]]) is None
    assert marks.growth("7-8", "7-5", 1, [[9]]) == [[4]]


def test_growth_packs_to_well_under_half_of_the_counts():
    # Twelve layers of 128 experts after half an hour, and what comes in 0.4 s.
    rng = Random(3)
    counts = [[rng.randrange(10**5, 10**6) for _ in range(128)] for _ in range(12)]
    growth = [[int(rng.expovariate(1 / 12)) for _ in range(128)] for _ in range(12)]
    assert unpack(pack(growth)) == growth
    assert len(pack(growth)) < 0.5 * len(pack(counts))


@pytest.mark.parametrize("text", ["", "x", "AAAA", None, 7, ["a"], "%%%%"])
def test_what_was_not_packed_is_refused(text):
    with pytest.raises(ValueError, match="expected a packed value"):
        unpack(text)
