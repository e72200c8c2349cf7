from gooseberryyoke.register.identity import Incarnation
from gooseberryyoke_daemon.seats.stored import SeatFile, SeatRecord
from gooseberryyoke_daemon.storage.memory import MemoryDisk

FIRST, SECOND = Incarnation(2, "first"), Incarnation(3, "second")


def test_an_identity_that_was_replaced_before_it_joined_is_withdrawn():
    # Guards against a seat that nobody can judge: one has confirmed an identity that
    # its process has left for another.
    record = SeatRecord().asking(FIRST).asking(FIRST).asking(SECOND)
    assert record.joining == SECOND
    assert record.withdrawn == (FIRST,)


def test_an_identity_that_may_have_joined_is_never_withdrawn():
    # Guards against votes on an outdated folder: the former holder is told that the
    # one that has voted since never joined.
    joined = SeatRecord().asking(FIRST).replace(seat="1")
    assert joined.asking(SECOND).withdrawn == ()
    left = joined.leaving(None)
    assert left.withdrawn == ()
    assert left.joining is None
    assert left.seat is None


def test_who_leaves_a_seat_without_having_joined_withdraws():
    record = SeatRecord().asking(FIRST).leaving(FIRST)
    assert record.withdrawn == (FIRST,)
    assert record.joining is None
    assert SeatRecord().leaving(FIRST).withdrawn == ()


def test_identities_outlast_a_restart():
    file = SeatFile(MemoryDisk(0.0))
    file.save(SeatRecord().asking(FIRST).asking(SECOND))
    record = file.load()
    assert record.joining == SECOND
    assert record.withdrawn == (FIRST,)
