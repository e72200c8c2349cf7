"""Test requests with several prompt parts, at gateways that exchange records."""

from math import inf

import pytest

from gooseberryyoke.crash import ClearanceKind, Suspects

FREE, TRIAL = ClearanceKind.FREE, ClearanceKind.TRIAL
WAIT, REFUSED = ClearanceKind.WAIT, ClearanceKind.REFUSED
DAY_S = 86_400.0
TRIAL_JITTER_S = 0.5
"""Upper bound in seconds of the delay before a gateway's trials."""
MULTI_PART_DELAY_S = 0.7
"""Additional delay in seconds for requests with several suspected parts."""


def crashed(part, crashes, from_s=100.0, suspects=None):
    suspects = Suspects("g0") if suspects is None else suspects
    for number in range(crashes):
        suspects.record_crash(f"{part}-{number}", [part], from_s + number)
    return suspects


def kind(suspects, parts, now):
    return suspects.clearance(parts, now).kind


def test_the_most_restricted_part_decides():
    """A part that allows a trial must not override a refused part."""
    suspects = crashed("a", 1)
    crashed("b", 2, suspects=suspects)
    assert kind(suspects, ["sound"], 102.0) is FREE
    assert kind(suspects, ["sound", "a"], 102.0) is TRIAL
    assert kind(suspects, ["a", "b"], 102.0) is REFUSED
    assert kind(suspects, ["b", "a"], 102.0) is REFUSED
    until_s = suspects.clearance(["a", "b"], 102.0).until_s
    assert until_s >= 104.0 + MULTI_PART_DELAY_S
    assert until_s < 104.0 + MULTI_PART_DELAY_S + TRIAL_JITTER_S


def test_only_one_request_is_on_trial_over_all_gateways():
    """Each gateway that ran a trial of its own could crash a further server."""
    suspects = crashed("a", 1)
    assert kind(suspects, ["a"], 100.5) is WAIT
    suspects.merge("a", {"a-0": 100.0}, -inf, "g1", 104.0, 101.0)
    assert kind(suspects, ["a"], 102.0) is WAIT
    suspects.merge("a", {"a-0": 100.0}, -inf, "g1", None, 102.5)
    assert kind(suspects, ["a"], 102.5) is TRIAL


def test_a_trial_ends_or_expires():
    """Waiting requests would wait for ever for a trial that is never ended."""
    suspects = crashed("a", 1)
    assert suspects.begin_trial(["a", "sound"], 102.0) == ["a"]
    assert kind(suspects, ["a"], 104.9) is WAIT
    assert kind(suspects, ["a"], 105.0) is TRIAL
    assert suspects.end_trial(["a", "sound"]) == ["a"]
    assert kind(suspects, ["a"], 102.0) is TRIAL


def test_requests_with_a_refused_part_wait_for_its_trial():
    """A harmless part's requests were refused until the answer that cleared it."""
    suspects = crashed("a", 2)
    assert kind(suspects, ["a"], 103.0) is REFUSED
    suspects.begin_trial(["a"], 105.0)
    assert kind(suspects, ["a"], 105.1) is WAIT
    suspects.record_crash("a-2", ["a"], 105.2)
    suspects.end_trial(["a"])
    assert kind(suspects, ["a"], 105.3) is REFUSED


def test_a_success_clears_only_the_parts_of_its_prompt():
    suspects = crashed("a", 2)
    crashed("b", 2, suspects=suspects)
    assert suspects.record_success(["a", "c"], 140.0) == ["a"]
    assert kind(suspects, ["a"], 140.0) is FREE
    assert kind(suspects, ["b"], 103.9) is REFUSED


def test_a_popular_part_is_free_after_two_crashes():
    """A part of every prompt is being processed on each server that crashes."""
    suspects = Suspects("g0")
    suspects.record_success(["a"], 99.0)
    crashed("a", 2, suspects=suspects)
    assert kind(suspects, ["a"], 101.5) is FREE
    suspects.record_crash("a-2", ["a"], 102.0)
    assert kind(suspects, ["a"], 102.5) is WAIT


def test_an_unused_part_is_removed_soon_and_a_refused_part_after_a_day():
    suspects = crashed("a", 1)
    crashed("closed", 5, suspects=suspects)
    suspects.remove_expired(690.0)
    assert suspects.parts() == ["a", "closed"]
    suspects.remove_expired(701.0)
    assert suspects.parts() == ["closed"]
    suspects.clearance(["closed"], DAY_S)
    suspects.remove_expired(DAY_S + 200.0)
    assert kind(suspects, ["closed"], DAY_S + 200.0) is REFUSED
    suspects.remove_expired(2 * DAY_S + 201.0)
    assert not suspects.parts()


@pytest.mark.parametrize("crashes", [2, 3, 4])
def test_a_refused_part_is_not_free_again_after_a_quiet_period(crashes):
    """
    Refused parts must be kept longer than other parts.

    When they were removed, requests sent every eleven minutes crashed three servers
    or more each time.
    """
    suspects = crashed("a", crashes)
    suspects.remove_expired(100.0 + DAY_S / 2)
    assert kind(suspects, ["a"], 100.0 + DAY_S / 2) is TRIAL
    suspects.remove_expired(101.0 + DAY_S / 2 + DAY_S)
    assert not suspects.parts()


def test_the_tables_are_bounded_and_keep_the_parts_with_most_crashes():
    """Callers choose the parts: their number must not exhaust a gateway's memory."""
    suspects = crashed("closed", 5)
    for number in range(300):
        suspects.record_crash("life", [f"p{number}"], 200.0 + number)
    assert len(suspects) == 256
    assert kind(suspects, ["closed"], 600.0) is REFUSED
    assert suspects.get("p0") is None
    for number in range(4100):
        suspects.record_success([f"q{number}"], 600.0 + number)
    assert suspects.last_success_s("q3") == -inf
    assert suspects.last_success_s("q4") == 604.0


def test_only_parts_that_remain_in_the_table_are_returned():
    """In a full table new parts evict each other, and callers look up the result."""
    suspects = Suspects("g0")
    for number in range(256):
        crashed(f"closed{number}", 2, suspects=suspects)
    changed = suspects.record_crash("life", ["a", "b", "c"], 200.0)
    assert all(suspects.get(part) is not None for part in changed)


@pytest.mark.parametrize("known", [True, False])
def test_a_sender_that_lacks_a_later_success_is_reported_as_behind(known):
    """A gateway that missed a success would hold back the part's requests for ever."""
    suspects = crashed("a", 1) if known else Suspects("g0")
    suspects.record_success(["a"], 101.0)
    changed, is_behind = suspects.merge("a", {"a-0": 100.0}, -inf, "g1", None, 102.0)
    assert (changed, is_behind) == (False, True)
    assert kind(suspects, ["a"], 200.0) is FREE


def test_a_request_that_lost_its_server_lets_others_try_its_parts_first():
    """A request harmful by itself, as a trial, had harmless new parts refused."""
    suspects = Suspects("g1")
    suspects.record_crash("s1/1", ["a"], 10.0)
    for now in (11.0 + step / 20 for step in range(30)):
        of_others = suspects.clearance(["a"], now).kind
        own = suspects.clearance(["a"], now, is_request_suspected=True).kind
        if own is ClearanceKind.TRIAL:
            break
        assert now < 12.0
    earlier = suspects.clearance(["a"], now - 0.25).kind
    assert (of_others, earlier) == (ClearanceKind.TRIAL, ClearanceKind.TRIAL)
