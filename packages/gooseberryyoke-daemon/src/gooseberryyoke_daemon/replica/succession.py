"""How a replica takes the votes of a seat over from the holder that stops."""

from enum import Enum

import trio

from gooseberryyoke.register.changes import (
    Identified,
    Joined,
    SeatNamed,
    SeatTaken,
)
from gooseberryyoke.register.messages import (
    HandingOver,
    HandOver,
    Release,
    Released,
)
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import PeerFailed

__all__ = ["SeatOffer", "Succession", "SuccessionOutcome"]


class SeatOffer:
    """
    A holder that stops, and the address to which it offers its seat.

    Parameters
    ----------
    holder : HttpPeer
    address : str
        Of the successor's process.
    """

    __slots__ = ("holder", "address")

    def __init__(self, holder, address):
        self.holder = holder
        self.address = address


class SuccessionOutcome(Enum):
    """Outcome of one attempt to succeed a seat's holder."""

    JOINED = "joined"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Succession:
    """
    Continues the holder of a seat on another disk.

    The holder stops voting, its successor copies it as it stands, and only then does
    the holder write down that it never votes again. No other seat is needed for that:
    at each moment one of the two disks holds all that the seat has voted for.

    Parameters
    ----------
    replica : Replica
        The successor, with a running journal.
    copy : StateCopy

    Attributes
    ----------
    is_begun : bool
    is_copied : bool
        Whether all that the holder voted for has been copied.
    """

    __slots__ = ("is_copied", "_replica", "_state", "_copy", "_offer", "_began_s")

    def __init__(self, replica, copy):
        self._replica = replica
        self._state = replica.acceptor.state
        self._copy = copy
        self._offer = self._began_s = None
        self.is_copied = False

    @property
    def is_begun(self):
        """Whether an offer has been taken up."""
        return self._offer is not None

    def begin(self, offer):
        """
        Take an offer up.

        Parameters
        ----------
        offer : SeatOffer
        """
        self._offer, self._began_s = offer, trio.current_time()

    def lasts_s(self):
        """
        Tell how long the succession has lasted.

        Returns
        -------
        float
            In seconds.
        """
        return trio.current_time() - self._began_s

    async def attempt(self):
        """
        Copy the holder and vote in its place.

        Returns
        -------
        SuccessionOutcome
            After ``UNANSWERED`` the holder may have released its votes: the next
            attempt asks for no more than its answer to that.
        """
        try:
            if not self.is_copied and not await self._copy_holder():
                return SuccessionOutcome.REFUSED
            if not self.is_copied:
                return SuccessionOutcome.UNANSWERED
            released = await self._call(
                Release(self._replica.seat, self._state.incarnation)
            )
        except PeerFailed:
            return SuccessionOutcome.UNANSWERED
        if not isinstance(released, Released):
            return SuccessionOutcome.REFUSED
        await self._join(released)
        return SuccessionOutcome.JOINED

    async def _copy_holder(self):
        """Return whether the holder lets itself be copied, and note if that is done."""
        nonce = f"{self._replica.rng.getrandbits(64):016x}"
        seat = self._replica.seat
        granted = await self._call(HandOver(seat, self._offer.address, nonce))
        if not isinstance(granted, HandingOver):
            return False
        identified = Identified(self._replica.seat, granted.incarnation)
        await self._replica.record(self._state, [identified])
        if await self._copy.take_over(self._offer.holder):
            await self._replica.before_confirming(granted.incarnation)
            self.is_copied = True
        return True

    async def _call(self, message):
        with trio.move_on_after(self._replica.hello_s):
            return await self._offer.holder.call(message)
        raise PeerFailed(f"the holder of seat {self._replica.seat} is silent")

    async def _join(self, released):
        roster = released.sender.roster.items()
        changes = [SeatNamed(seat, incarnation) for seat, incarnation in roster]
        for seat, confirmed in released.joined.items():
            changes += [SeatTaken(seat, incarnation) for incarnation in confirmed]
        await self._replica.record(self._state, changes)
        await self._replica.before_joining()
        await self._replica.record(self._state, [Joined()])
        log_event("seat-succeeded", seat=self._replica.seat)
