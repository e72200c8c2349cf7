import pytest

from gooseberryyoke.membership.life_order import LifeOrder, Rival
from gooseberryyoke.membership.server_registry import ServerEntry, ServerState

BEAT_S = 1.2
KNOWN_MS, BEFORE_MS = 5000, 4200


def entry(born_ms, sequence=1, state=ServerState.READY, service="s"):
    return ServerEntry("i", born_ms, sequence, service, "10.0.0.1:80", "a", 6, state)


KNOWN = entry(KNOWN_MS, 9)


def resolve(order, *announcements, known=KNOWN, heard_s=0.0):
    rivals = [Rival(known, heard_s)]
    return [order.resolve(announced, rivals, at_s) for at_s, announced in announcements]


def test_announcements_of_the_known_life_and_of_later_ones_count_as_stated():
    order = LifeOrder()
    for announced in (entry(KNOWN_MS, 10), entry(KNOWN_MS + 1), entry(0, 3)):
        assert resolve(order, (1.0, announced)) == [announced]
    assert order.resolve(entry(1), [], 1.0) == entry(1)


def test_a_life_with_an_earlier_start_that_goes_on_counts_as_the_present_one():
    # Guards against a server whose clock has stepped back, and whose departure is
    # acknowledged while requests go on to it.
    order = LifeOrder()
    first, second = resolve(
        order, (1.0, entry(BEFORE_MS, 1)), (1.0 + BEAT_S, entry(BEFORE_MS, 2))
    )
    assert first is None
    assert second == entry(KNOWN_MS + 1, 2)
    assert order.start_of("i", BEFORE_MS) == KNOWN_MS + 1
    (third,) = resolve(order, (4.0, entry(BEFORE_MS, 3)), known=second, heard_s=2.2)
    assert third == entry(KNOWN_MS + 1, 3)


@pytest.mark.parametrize(
    ("announcements", "heard_s"),
    [
        pytest.param([(1.0, 1), (1.01, 2), (1.02, 3)], 0.0, id="read at once"),
        pytest.param([(1.0, 2), (3.0, 2)], 0.0, id="sent twice"),
        pytest.param([(1.0, 2), (3.0, 1)], 0.0, id="out of order"),
        pytest.param([(1.0, 1), (3.0, 2)], 2.0, id="known life alive"),
    ],
)
def test_words_of_a_former_life_do_not_count(announcements, heard_s):
    # Guards against a former life, read late by a process that was frozen, that makes
    # a server which leaves take requests again.
    order = LifeOrder()
    found = resolve(
        order,
        *((at_s, entry(BEFORE_MS, number)) for at_s, number in announcements),
        heard_s=heard_s,
    )
    assert found == [None] * len(announcements)
    assert order.start_of("i", BEFORE_MS) == BEFORE_MS


def test_two_writers_with_earlier_starts_do_not_support_each_other():
    order = LifeOrder()
    found = resolve(
        order,
        (1.0, entry(BEFORE_MS, 1)),
        (3.0, entry(BEFORE_MS, 2, service="other")),
        (5.0, entry(BEFORE_MS - 1, 3)),
    )
    assert found == [None] * 3


def test_one_odd_entry_with_a_late_start_does_not_keep_the_server_out():
    # Guards against a start far in the future, written by another under a known id.
    order = LifeOrder()
    odd = entry(2**53, 1, service="other")
    found = resolve(
        order, (1.0, entry(KNOWN_MS, 10)), (2.2, entry(KNOWN_MS, 11)), known=odd
    )
    assert found == [None, entry(2**53 + 1, 11)]


def test_what_is_kept_of_forgotten_servers_is_dropped():
    order = LifeOrder()
    resolve(order, (1.0, entry(BEFORE_MS, 1)), (3.0, entry(BEFORE_MS, 2)))
    assert not order.is_unsettled("i", BEFORE_MS)
    resolve(order, (4.0, entry(7, 1)))
    assert order.is_unsettled("i", 7)
    order.forget(["i"])
    assert not order.is_unsettled("i", 7)
    assert order.start_of("i", BEFORE_MS) == BEFORE_MS


def at_address(id, born_ms, sequence=1, state=ServerState.READY):
    return ServerEntry(id, born_ms, sequence, "s", "10.0.0.1:80", "a", 6, state)


@pytest.mark.parametrize("born_ms", [BEFORE_MS, KNOWN_MS + 100])
def test_one_odd_entry_at_the_address_of_a_server_does_not_take_its_place(born_ms):
    # Guards against an entry of another writer, by which a sound server counts as gone.
    order = LifeOrder()
    odd = at_address("odd", born_ms)
    assert resolve(order, (1.0, odd), (9.0, odd), heard_s=8.0) == [None, None]


@pytest.mark.parametrize("born_ms", [BEFORE_MS, KNOWN_MS + 100])
def test_a_server_at_the_address_of_one_that_has_crashed_takes_its_place(born_ms):
    order = LifeOrder()
    found = resolve(
        order,
        (1.0, at_address("next", born_ms, 1)),
        (1.0 + BEAT_S, at_address("next", born_ms, 2)),
        heard_s=0.9,
    )
    start_ms = max(born_ms, KNOWN_MS + 1)
    assert found == [None, at_address("next", start_ms, 2)]


def test_the_address_of_a_server_that_has_left_is_taken_at_once():
    gone = at_address("i", KNOWN_MS, 9, ServerState.GONE)
    next = at_address("next", BEFORE_MS)
    assert resolve(LifeOrder(), (1.0, next), known=gone, heard_s=0.9) == [next]


def settled(order, *announcements):
    """Resolve announcements beside the life that each of them makes the known one."""
    found, rivals = [], []
    for at_s, announced in announcements:
        resolved = order.resolve(announced, rivals, at_s)
        found.append(resolved)
        if resolved is not None:
            rivals = [Rival(resolved, at_s)]
    return found


def test_a_first_word_that_names_another_service_gives_way():
    # Guards against one odd entry, read before the server's own word, by which the
    # server is refused for as long as the entry is remembered.
    first, *own = settled(
        LifeOrder(),
        (0.0, entry(KNOWN_MS, 1, service="odd")),
        *((BEAT_S * number, entry(KNOWN_MS, number)) for number in (2, 3, 4)),
    )
    assert first is not None
    assert own == [None, entry(KNOWN_MS + 1, 3), entry(KNOWN_MS + 1, 4)]


def test_a_server_that_has_announced_itself_twice_keeps_its_place():
    # Guards against another writer that goes on, while the server reports elsewhere.
    order = LifeOrder()
    settled(order, (0.0, entry(KNOWN_MS, 1)), (BEAT_S, entry(KNOWN_MS, 2)))
    rivals = [Rival(entry(KNOWN_MS, 2), BEAT_S)]
    for number in (5, 6, 7):
        odd = entry(KNOWN_MS, number, service="odd")
        assert order.resolve(odd, rivals, BEAT_S * number) == odd


def test_a_sequence_far_ahead_gives_way_to_words_that_go_on():
    # Guards against one odd entry by which a server's own words are acknowledged and
    # not acted upon.
    odd = entry(KNOWN_MS, 2**53)
    found = resolve(
        LifeOrder(), (1.0, entry(KNOWN_MS, 3)), (2.2, entry(KNOWN_MS, 4)), known=odd
    )
    assert found == [None, entry(KNOWN_MS + 1, 4)]


def test_a_server_that_leaves_does_not_come_back_by_a_lower_sequence():
    order = LifeOrder()
    left = entry(KNOWN_MS, 2**53, state=ServerState.DRAINING)
    late = [entry(KNOWN_MS, number) for number in (3, 4)]
    assert resolve(order, (1.0, late[0]), (2.2, late[1]), known=left) == late
