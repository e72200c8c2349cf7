import pytest

from gooseberryyoke.register import Acceptor, Ballot, Cell, Incarnation, ReplicaState
from gooseberryyoke.register.changes import (
    Founded,
    Identified,
    Reclaimed,
    Resumed,
    SeatNamed,
    SlotStored,
)
from gooseberryyoke.register.messages import (
    Accept,
    Accepted,
    Copy,
    CopyPage,
    HandOver,
    NotReady,
    Prepare,
    Promise,
    Read,
    Release,
    Released,
)
from gooseberryyoke.register.state import HANDED_OVER, READY

HOLDERS = {seat: Incarnation(3, f"{seat}e") for seat in ("1", "2", "3")}
BALLOT = Ballot(7, "p")
CELL = Cell(1, "value", "p/1", 0)
NEXT = "10.0.0.4:70"


def holder(seat="1"):
    state = ReplicaState()
    state.apply(Identified(seat, HOLDERS[seat]))
    state.apply(Founded(HOLDERS))
    return Acceptor(state)


def begin(acceptor, address=NEXT, nonce="x"):
    acceptor.offered_to = address
    return acceptor.handle(HandOver("1", address, nonce)).reply


def ask(acceptor, message):
    return acceptor.handle(message).reply


def test_only_its_successor_may_ask_a_holder_that_is_copied():
    # Guards against votes that the successor's copy lacks.
    acceptor = holder()
    assert isinstance(ask(acceptor, Accept("k", BALLOT, CELL)), Accepted)
    successor = begin(acceptor).incarnation
    for message in (
        Prepare("k", Ballot(9, "q")),
        Accept("k", Ballot(9, "q"), CELL),
        Read("k", "n"),
        Copy("2", Incarnation(4, "y"), "", 10),
        Copy("1", Incarnation(4, "y"), "", 10),
    ):
        assert isinstance(ask(acceptor, message), NotReady)
    page = ask(acceptor, Copy("1", successor, "", 10))
    assert [(s.key, s.slot.cell, s.slot.copied) for s in page.slots] == [
        ("k", CELL, False)
    ]


def test_a_released_holder_never_votes_again():
    # Guards against a seat that votes on two disks.
    acceptor = holder()
    successor = begin(acceptor).incarnation
    for _ in range(2):
        assert isinstance(ask(acceptor, Release("1", successor)), Released)
    assert not acceptor.take_back()
    copy = ReplicaState()
    for change in acceptor.state.dump():
        copy.apply(change)
    assert (copy.status, copy.successor) == (HANDED_OVER, successor)
    for restarted in (acceptor, Acceptor(copy)):
        assert isinstance(ask(restarted, Prepare("k", BALLOT)), NotReady)
        assert isinstance(ask(restarted, Release("1", successor)), Released)
        assert isinstance(begin(restarted, nonce="y"), NotReady)


def test_a_successor_that_was_too_slow_is_not_released():
    # Guards against a successor that lacks what was voted for since it copied.
    acceptor = holder()
    slow = begin(acceptor).incarnation
    assert isinstance(ask(acceptor, Copy("1", slow, "", 10)), CopyPage)
    assert acceptor.take_back()
    assert isinstance(ask(acceptor, Accept("k", BALLOT, CELL)), Accepted)
    assert isinstance(ask(acceptor, Release("1", slow)), NotReady)
    begin(acceptor, nonce="y")
    assert isinstance(ask(acceptor, Release("1", slow)), NotReady)
    assert acceptor.state.status == READY


def test_only_the_process_that_is_offered_the_seat_may_copy_it():
    acceptor = holder()
    assert isinstance(ask(acceptor, HandOver("1", NEXT, "x")), NotReady)
    acceptor.offered_to = "10.0.0.5:70"
    assert isinstance(ask(acceptor, HandOver("1", NEXT, "x")), NotReady)
    assert isinstance(ask(acceptor, HandOver("2", "10.0.0.5:70", "x")), NotReady)
    assert isinstance(ask(acceptor, Prepare("k", BALLOT)), Promise)


def test_a_holder_that_has_reclaimed_its_seat_does_not_release_an_earlier_successor():
    # Guards against a seat whose holder ends and whose successor is outranked.
    acceptor = holder()
    successor = begin(acceptor).incarnation
    acceptor.state.apply(Reclaimed(Incarnation(5, "f"), HOLDERS["1"]))
    acceptor.state.apply(Resumed())
    assert isinstance(ask(acceptor, Release("1", successor)), NotReady)


def test_a_holder_votes_again_once_its_successor_has_withdrawn():
    acceptor = holder()
    successor = begin(acceptor).incarnation
    ask(acceptor, Release("1", successor))
    acceptor.take_back()
    acceptor.state.apply(Resumed())
    assert isinstance(ask(acceptor, Prepare("k", BALLOT)), Promise)


@pytest.mark.parametrize("later", [Incarnation(3, "1f"), Incarnation(4, "00")])
def test_whoever_has_replaced_a_holder_has_replaced_its_successors(later):
    # Guards against a holder that has been replaced without knowing it, and whose
    # successor's votes count beside those of the present holder.
    first = HOLDERS["1"]
    second = first.succeeded_by("x")
    third = second.succeeded_by("a")
    assert first < second < third < later
    state = ReplicaState()
    state.apply(SeatNamed("1", later))
    state.apply(SeatNamed("1", third))
    assert state.roster["1"] == later


def test_identities_do_not_grow_with_the_number_of_successors():
    identity = HOLDERS["1"]
    lengths = set()
    for number in range(300):
        identity, before = identity.succeeded_by(f"{number:016x}"), identity
        assert before < identity
        lengths.add(len(identity.nonce))
    assert len(lengths) == 1


def test_the_last_holder_alone_may_lack_an_acknowledged_change():
    # Shows why one replica of three must not go on alone: what the two others have
    # acknowledged is not in its folder, and nothing there tells so.
    first, second, last = holder("1"), holder("2"), holder("3")
    for acceptor in (first, second):
        assert isinstance(ask(acceptor, Accept("k", BALLOT, CELL)), Accepted)
    assert ask(last, Read("k", "n")).cell != CELL
    assert "k" not in last.state.slots
    assert SlotStored("k", first.state.slot("k")) not in last.state.dump()
