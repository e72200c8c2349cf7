import pytest

from gooseberryyoke.membership.server_registry import (
    RankPlace,
    ServerEntry,
    ServerRegistry,
    ServerState,
)

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.GONE


def entry(id="i-1", born_ms=100, sequence=1, address="10.0.0.1:80", **changes):
    fields = {
        "service": "draw",
        "data_centre": "a",
        "slots": 6,
        "state": READY,
        "place": None,
    }
    return ServerEntry(id, born_ms, sequence, address=address, **{**fields, **changes})


def test_a_heartbeat_that_arrives_after_a_later_one_changes_nothing():
    registry = ServerRegistry()
    assert registry.apply(entry(sequence=5, state=DRAINING), 0.0)
    assert not registry.apply(entry(sequence=4, state=READY), 1.0)
    assert registry.entries["i-1"].state is DRAINING


def test_a_new_incarnation_of_an_id_restarts_the_sequence():
    registry = ServerRegistry()
    registry.apply(entry(born_ms=100, sequence=50), 0.0)
    assert registry.apply(entry(born_ms=200, sequence=1), 1.0)
    assert registry.entries["i-1"].born_ms == 200
    assert not registry.apply(entry(born_ms=100, sequence=51), 2.0)


def test_a_late_heartbeat_of_the_former_holder_of_an_address_is_ignored():
    # Guards against requests to the wrong server: a heartbeat delayed by a partition
    # arrives after its sender has crashed and another server has started at its
    # address.
    registry = ServerRegistry()
    registry.apply(entry("i-new", born_ms=200, service="other"), 0.0)
    assert not registry.apply(entry("i-old", born_ms=100, sequence=9), 1.0)
    assert "i-old" not in registry.entries


def test_a_new_holder_of_an_address_marks_the_former_one_as_gone():
    registry = ServerRegistry()
    registry.apply(entry("i-old", born_ms=100), 0.0)
    registry.apply(entry("i-new", born_ms=200), 1.0)
    assert registry.entries["i-old"].state is GONE
    assert registry.entries["i-new"].state is READY


def test_a_heartbeat_sent_before_the_end_does_not_bring_the_server_back():
    registry = ServerRegistry()
    registry.apply(entry(sequence=3), 0.0)
    assert registry.end("i-1", 100, 1.0)
    assert not registry.apply(entry(sequence=4), 2.0)
    assert registry.entries["i-1"].state is GONE
    assert registry.apply(entry(born_ms=300, sequence=1), 3.0)
    assert registry.entries["i-1"].state is READY


def test_the_end_of_an_earlier_incarnation_does_not_end_the_present_one():
    registry = ServerRegistry()
    registry.apply(entry(born_ms=200), 0.0)
    assert not registry.end("i-1", 100, 1.0)
    assert registry.entries["i-1"].state is READY
    assert not registry.end("i-unknown", None, 1.0)


@pytest.mark.parametrize("changes", [{"service": "other"}, {"address": "10.0.0.9:80"}])
def test_another_s_announcement_does_not_replace_a_running_server(changes):
    # Guards against a server that gets no requests, and whose own heartbeats are
    # ignored, after somebody else has announced its id with a high sequence number.
    registry = ServerRegistry()
    registry.apply(entry(sequence=3), 0.0)
    assert not registry.apply(entry(sequence=900, **changes), 1.0)
    assert registry.entries["i-1"] == entry(sequence=3)
    registry.apply(entry(sequence=4, state=DRAINING), 2.0)
    assert registry.entries["i-1"].state is DRAINING
    assert registry.apply(entry(born_ms=200, **changes), 3.0)


def test_a_server_without_a_stated_start_may_come_back_elsewhere():
    registry = ServerRegistry()
    registry.apply(entry(born_ms=0, sequence=3), 0.0)
    assert registry.apply(entry(born_ms=0, sequence=4, address="10.0.0.9:80"), 1.0)


def test_followers_are_notified_of_changes_but_not_of_each_heartbeat():
    registry = ServerRegistry()
    registry.apply(entry(sequence=1), 0.0)
    seen = registry.change_count
    registry.apply(entry(sequence=2), 1.2)
    assert registry.changed_since(seen) == []
    assert registry.last_heard_s["i-1"] == 1.2
    registry.apply(entry(sequence=3, state=DRAINING), 2.4)
    assert [changed.state for changed in registry.changed_since(seen)] == [DRAINING]


def test_a_tombstone_is_kept_longer_than_a_silent_server():
    registry = ServerRegistry()
    registry.apply(entry("i-1"), 0.0)
    registry.apply(entry("i-2", address="10.0.0.2:80"), 0.0)
    registry.end("i-2", None, 0.0)
    assert registry.remove_expired(61.0, 60.0) == ["i-1"]
    assert registry.entries["i-2"].state is GONE
    assert registry.remove_expired(121.0, 60.0) == ["i-2"]


def test_an_entry_survives_a_json_round_trip():
    with_place = entry(place=RankPlace("g", 2, 3, 8, True))
    for sent in (entry(), with_place):
        assert ServerEntry.from_json(sent.to_json()) == sent


def test_an_end_reaches_followers_that_know_the_last_heartbeat():
    # Guards against followers that take an end, which has the sequence number of the
    # last heartbeat, for a repetition of that heartbeat. They sent requests for seconds
    # to a server that had announced itself once and then ended.
    control, follower = ServerRegistry(), ServerRegistry()
    control.apply(entry(sequence=1), 0.0)
    for changed in control.changed_since(0):
        follower.apply(changed, 0.1)
    seen = control.change_count
    control.end("i-1", None, 0.2)
    for changed in control.changed_since(seen):
        follower.apply(changed, 0.3)
    assert follower.entries["i-1"].state is GONE
    assert not follower.apply(entry(sequence=2), 0.4)
