import pytest

from gooseberryyoke.membership.departure import Departure, DepartureBook
from gooseberryyoke.membership.departure_list import DepartureList
from gooseberryyoke.membership.server_registry import (
    ServerEntry,
    ServerRegistry,
    ServerState,
)
from gooseberryyoke.membership.telling import DepartureTelling

READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.GONE
MALFORMED = [
    None,
    7,
    [],
    ["i-1", 100, 5],
    ["", 100, 5, "gone"],
    ["i" * 300, 100, 5, "gone"],
    ["i-1", True, 5, "gone"],
    ["i-1", 100, 1.5, "gone"],
    ["i-1", 100, 5, "ready"],
    ["i-1", 100, 5, {}],
]


def departure(id="i-1", born_ms=100, sequence=5, state=GONE):
    return Departure(id, born_ms, sequence, state)


def entry(sequence, state=READY, born_ms=100, id="i-1"):
    return ServerEntry(id, born_ms, sequence, "s", "10.0.0.1:80", "a", 6, state)


@pytest.mark.parametrize("packed", MALFORMED)
def test_a_malformed_departure_is_refused(packed):
    with pytest.raises(ValueError):
        Departure.from_json(packed)


def test_a_departure_survives_a_json_round_trip():
    for sent in (departure(), departure(state=DRAINING, born_ms=0)):
        assert Departure.from_json(sent.to_json()) == sent


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_known_server_leaves_and_followers_are_told(state):
    registry = ServerRegistry()
    registry.apply(entry(3), 0.0)
    seen = registry.change_count
    assert registry.depart(departure(state=state), 1.0)
    assert [changed.state for changed in registry.changed_since(seen)] == [state]
    assert registry.departures.since(seen) == [departure(state=state)]
    assert not registry.depart(departure(state=state), 2.0)
    assert registry.changed_since(registry.change_count) == []


def test_a_follower_of_an_earlier_release_takes_the_changed_announcement():
    # Guards against an announcement under the sequence number that the follower knows
    # as ready: it would count as a repetition, and the server go on being used.
    registry, follower = ServerRegistry(), ServerRegistry()
    for each in (registry, follower):
        each.apply(entry(3), 0.0)
    registry.depart(departure(sequence=4, state=DRAINING), 1.0)
    for changed in registry.changed_since(1):
        follower.apply(ServerEntry.from_json(changed.to_json()), 1.0)
    assert follower.entries["i-1"].state is DRAINING


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_late_heartbeats_of_a_departed_incarnation_do_not_bring_it_back(state):
    registry = ServerRegistry()
    registry.depart(departure(state=state), 0.0)
    for sequence, born_ms in ((4, 100), (6, 100), (9, 50)):
        registry.apply(entry(sequence, born_ms=born_ms), 1.0)
        assert registry.entries["i-1"].state is state
    registry.apply(entry(1, born_ms=200), 2.0)
    assert registry.entries["i-1"].state is READY


def test_the_departure_of_an_earlier_incarnation_leaves_the_present_one():
    registry = ServerRegistry()
    registry.apply(entry(3, born_ms=200), 0.0)
    assert registry.depart(departure(born_ms=100), 1.0)
    assert registry.entries["i-1"].state is READY


def test_a_draining_server_that_has_ended_is_gone():
    registry = ServerRegistry()
    registry.depart(departure(state=DRAINING), 0.0)
    registry.apply(entry(6, DRAINING), 1.0)
    assert registry.depart(departure(state=GONE), 2.0)
    assert registry.entries["i-1"].state is GONE
    assert not registry.depart(departure(state=DRAINING), 3.0)
    registry.apply(entry(7, DRAINING), 4.0)
    assert registry.entries["i-1"].state is GONE


def test_departures_are_forgotten_once_no_announcement_can_be_in_transit():
    book = DepartureBook()
    for at in range(100):
        assert book.record(departure(f"i-{at}"), at + 1, 10.0 * at)
    assert not book.covers("i-50", 100)
    assert book.covers("i-80", 100)
    assert len(book.since(0)) < 30


def test_a_list_keeps_the_latest_departure_of_each_id_for_its_time():
    first = DepartureList().add([departure("i-1"), departure("i-2")], 1_000)
    later = first.add([departure("i-1", 200), departure("i-3")], 100_000)
    assert later.departures == [
        departure("i-1", 200),
        departure("i-2"),
        departure("i-3"),
    ]
    assert later.add([], 130_000).departures == [
        departure("i-1", 200),
        departure("i-3"),
    ]
    assert later.add([departure("i-1", 100)], 130_000).departures[0].born_ms == 200


def test_a_departure_that_is_stated_again_is_listed_from_then_on():
    # Guards against the time of the first heartbeat that said so.
    again = departure(sequence=9, state=DRAINING)
    listed = DepartureList().add([departure(state=DRAINING)], 1_000)
    listed = listed.add([again], 100_000)
    assert listed.add([], 200_000).departures == [again]


def test_a_list_of_a_clock_that_is_ahead_ages_all_the_same():
    ahead = DepartureList().add([departure()], 9_000_000)
    listed = ahead.add([], 1_000)
    assert listed.departures == [departure()]
    assert listed.add([], 200_000).departures == []


def test_what_is_malformed_in_a_list_hides_nothing_else():
    packed = DepartureList().add([departure()], 1_000).to_json()
    malformed = [[item, 1_000] for item in MALFORMED] + [7, [departure().to_json()]]
    malformed.append([departure("i-2").to_json(), "x"])
    found = []
    listed = DepartureList.from_json(malformed + packed, found.append)
    assert listed.departures == [departure()]
    assert len(found) == len(malformed)
    assert DepartureList.from_json({"a": 1}, found.append).departures == []


def test_a_departure_is_told_once_all_present_followers_have_taken_it():
    telling = DepartureTelling()
    telling.hear("g1", 4, 0.0)
    telling.hear("g2", 4, 0.0)
    telling.hear("gone", 4, -9.0)
    telling.add(departure(), 5, 0.1)
    assert telling.hear("g1", 5, 0.3) == []
    assert telling.hear("g1", 5, 0.4) == []
    (told,) = telling.hear("g2", 7, 0.5)
    assert (told.departure, told.told, told.missing) == (departure(), 2, [])
    assert told.after_s == pytest.approx(0.4)
    assert telling.hear("g2", 7, 0.6) == []


def test_followers_that_lack_a_departure_are_named_after_two_seconds():
    telling = DepartureTelling()
    telling.hear("g1", 4, 0.0)
    telling.hear("g2", 4, 0.0)
    telling.add(departure(), 5, 0.0)
    assert telling.hear("g1", 5, 1.9) == []
    (told,) = telling.hear("g1", 5, 2.1)
    assert (told.told, told.missing) == (1, ["g2"])
