from math import inf

import pytest
from hypothesis import given, strategies as st

from gooseberryyoke.placement import ServerBackoff, read_backoff

TIMES = st.floats(0, 100)
PAUSES = st.floats(0, 50)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("3,1", 3.0),
        ("x, 2", 2.0),
        ("99999999999", 600.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e400", None),
        ("soon", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_only_numbers_from_zero_are_pauses(text, seconds):
    assert read_backoff(text) == seconds


def test_nothing_is_sent_in_a_pause_and_one_request_after_it():
    backoff = ServerBackoff()
    assert backoff.room(0.0) == inf
    backoff.asked(3.0, 1.0)
    assert [backoff.room(at_s) for at_s in (1.0, 3.9, 4.0)] == [0, 0, 1]
    backoff.sent(4.1)
    assert backoff.room(4.2) == 0
    assert backoff.answered(4.1)
    assert not backoff.answered(4.1)
    assert backoff.room(4.3) == inf


def test_an_answer_to_a_request_from_before_the_pause_does_not_end_it():
    backoff = ServerBackoff()
    backoff.sent(0.5)
    backoff.asked(3.0, 1.0)
    assert not backoff.answered(0.5)
    assert backoff.room(2.0) == 0
    assert backoff.room(4.0) == 1


def test_a_trial_that_ends_without_an_answer_lets_the_next_one_go():
    # Guards against a server that gets nothing more once its trial has failed.
    backoff = ServerBackoff()
    backoff.asked(1.0, 0.0)
    backoff.sent(1.0)
    backoff.ended(0.7)
    assert backoff.room(1.5) == 0
    backoff.ended(1.0)
    assert backoff.room(1.5) == 1


def test_a_trial_that_is_turned_away_begins_another_pause():
    backoff = ServerBackoff()
    backoff.asked(1.0, 0.0)
    backoff.sent(1.0)
    backoff.asked(1.0, 1.2)
    backoff.ended(1.0)
    assert backoff.room(2.0) == 0
    assert backoff.room(2.2) == 1


@given(st.lists(st.tuples(TIMES, PAUSES), min_size=1), TIMES)
def test_whatever_the_order_of_the_words_the_last_end_counts(words, at_s):
    # Guards against answers that cross, and against a word that shortens another.
    backoff = ServerBackoff()
    for told_s, pause_s in words:
        backoff.asked(pause_s, told_s)
    ends = [told_s + pause_s for told_s, pause_s in words if pause_s > 0]
    assert backoff.is_on(at_s) == (at_s < max(ends, default=-inf))
