import pytest
import trio
import trio.testing

from gooseberryyoke.register import Acceptor, Ballot, Cell, Incarnation, ReplicaState
from gooseberryyoke.register.cell import Slot
from gooseberryyoke.register.changes import Identified, Joined, SlotStored
from gooseberryyoke_daemon.replica.copying import StateCopy

BALLOT = Ballot(4, "p")
SLOT = Slot(BALLOT, BALLOT, Cell(1, "v", "p", 0), copied=True)


class Source:
    """A replica that votes, without a journal."""

    def __init__(self, seat, slots):
        state = ReplicaState()
        state.apply(Identified(seat, Incarnation(1, seat)))
        for key, slot in slots.items():
            state.apply(SlotStored(key, slot))
        state.apply(Joined())
        self._acceptor = Acceptor(state)

    async def call(self, message):
        return self._acceptor.handle(message).reply


class Newcomer:
    """As much of a replica as a copy needs."""

    def __init__(self, slots, sources):
        state = ReplicaState()
        state.apply(Identified("r1", Incarnation(2, "new")))
        for key, slot in slots.items():
            state.apply(SlotStored(key, slot))
        self.seat = "r1"
        self.acceptor = Acceptor(state, is_admitted=False)
        self.peers = sources

    async def record(self, state, changes):
        for change in changes:
            state.apply(change)


def _copy(left_over, held):
    sources = {seat: Source(seat, held) for seat in ("r2", "r3")}
    newcomer = Newcomer(left_over, sources)

    async def main():
        assert len(await StateCopy(newcomer).take(list(sources))) == 2

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return newcomer.acceptor.state


@pytest.mark.parametrize(
    "held", [{}, {"k": Slot(Ballot(9, "q"), Ballot(0, ""), Cell(0, None, "", 0))}]
)
def test_what_a_broken_off_copy_has_left_is_not_kept(held):
    # Guards against a deleted key that comes back from the folder of a process which
    # began to copy before the deletion, and goes on after it.
    state = _copy({"k": SLOT}, held)
    assert state.slot("k").cell.value is None
    assert state.slot("k").accepted < BALLOT


def test_all_that_the_sources_hold_is_copied():
    state = _copy({}, {"k": SLOT})
    assert state.slot("k").cell.value == "v"
    assert state.slot("k").copied
