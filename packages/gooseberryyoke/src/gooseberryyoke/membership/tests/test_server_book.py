from gooseberryyoke.membership.server_book import (
    RankPlace,
    ServerBook,
    ServerEntry,
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


def test_a_heartbeat_overtaken_by_a_later_one_changes_nothing():
    book = ServerBook()
    assert book.take(entry(sequence=5, state=DRAINING), 0.0)
    assert not book.take(entry(sequence=4, state=READY), 1.0)
    assert book.entries["i-1"].state is DRAINING


def test_a_new_life_under_the_same_id_counts_from_the_start():
    book = ServerBook()
    book.take(entry(born_ms=100, sequence=50), 0.0)
    assert book.take(entry(born_ms=200, sequence=1), 1.0)
    assert book.entries["i-1"].born_ms == 200
    assert not book.take(entry(born_ms=100, sequence=51), 2.0)


def test_a_late_heartbeat_of_the_address_s_former_holder_brings_it_no_work():
    # A heartbeat held up by a partition arrives after its sender has crashed and
    # another server has started at the address: requests would go to the wrong one.
    book = ServerBook()
    book.take(entry("i-new", born_ms=200, service="other"), 0.0)
    assert not book.take(entry("i-old", born_ms=100, sequence=9), 1.0)
    assert "i-old" not in book.entries


def test_a_new_holder_of_an_address_ends_the_former_one():
    book = ServerBook()
    book.take(entry("i-old", born_ms=100), 0.0)
    book.take(entry("i-new", born_ms=200), 1.0)
    assert book.entries["i-old"].state is GONE
    assert book.entries["i-new"].state is READY


def test_a_heartbeat_sent_before_the_end_does_not_bring_the_server_back():
    book = ServerBook()
    book.take(entry(sequence=3), 0.0)
    assert book.end("i-1", 100, 1.0)
    assert not book.take(entry(sequence=4), 2.0)
    assert book.entries["i-1"].state is GONE
    assert book.take(entry(born_ms=300, sequence=1), 3.0)
    assert book.entries["i-1"].state is READY


def test_the_end_of_an_earlier_life_does_not_end_the_present_one():
    book = ServerBook()
    book.take(entry(born_ms=200), 0.0)
    assert not book.end("i-1", 100, 1.0)
    assert book.entries["i-1"].state is READY
    assert not book.end("i-unknown", None, 1.0)


def test_followers_are_told_of_changes_but_not_of_each_heartbeat():
    book = ServerBook()
    book.take(entry(sequence=1), 0.0)
    seen = book.count
    book.take(entry(sequence=2), 1.2)
    assert book.since(seen) == []
    assert book.heard_s["i-1"] == 1.2
    book.take(entry(sequence=3, state=DRAINING), 2.4)
    assert [changed.state for changed in book.since(seen)] == [DRAINING]


def test_an_end_is_remembered_longer_than_a_silent_server():
    book = ServerBook()
    book.take(entry("i-1"), 0.0)
    book.take(entry("i-2", address="10.0.0.2:80"), 0.0)
    book.end("i-2", None, 0.0)
    assert book.forget_old(61.0, 60.0) == ["i-1"]
    assert book.entries["i-2"].state is GONE
    assert book.forget_old(121.0, 60.0) == ["i-2"]


def test_an_entry_survives_the_way_through_json():
    with_place = entry(place=RankPlace("g", 2, 3, 8, True))
    for sent in (entry(), with_place):
        assert ServerEntry.from_json(sent.to_json()) == sent


def test_an_end_reaches_followers_that_know_the_last_heartbeat():
    # A server announces itself once and says farewell, without a number of its own.
    # Followers that took the farewell for a repetition of the announcement went on
    # sending it requests for seconds.
    control, follower = ServerBook(), ServerBook()
    control.take(entry(sequence=1), 0.0)
    for told in control.since(0):
        follower.take(told, 0.1)
    seen = control.count
    control.end("i-1", None, 0.2)
    for told in control.since(seen):
        follower.take(told, 0.3)
    assert follower.entries["i-1"].state is GONE
    assert not follower.take(entry(sequence=2), 0.4)
