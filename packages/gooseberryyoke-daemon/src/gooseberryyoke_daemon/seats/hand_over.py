"""Hands the seat of a process that stops to one without a seat."""

import trio

from gooseberryyoke_daemon.logs import log_event

__all__ = ["SeatHandOver"]

_POLL_S = 0.05
_PATIENCE_S = 1.0
"""Without a request of the successor, until another one is asked. Longer than a round
of greetings and a sync of a slow disk."""


class SeatHandOver:
    """
    Offers a seat to one process after the other until one holds it.

    The process that stops chooses: it alone knows that it goes, and each of several
    that chose for themselves would do so from a list of its own.

    Parameters
    ----------
    address : str
        Of this process.
    seats : SeatMap
    heard : HeardControls

    Attributes
    ----------
    successor : str or None
        Address of the process that is offered the seat.
    is_open : bool
        Whether any process may take the seat: none that answers knows of offers.
    """

    __slots__ = ("successor", "is_open", "_address", "_seats", "_heard")

    def __init__(self, address, seats, heard):
        self.successor = None
        self.is_open = False
        self._address = address
        self._seats = seats
        self._heard = heard

    async def run(self, replica, greet, timeout_s):
        """
        Hand the seat over, or end after a time.

        Parameters
        ----------
        replica : Replica
            That votes in the seat.
        greet : async callable
            Tells an address what this process says of itself.
        timeout_s : float

        Returns
        -------
        bool
            Whether another process holds the seat.
        """
        seat = replica.seat
        log_event("seat-handed-over", seat=seat)
        with trio.move_on_after(timeout_s):
            tried = 0
            while not self._is_given(seat) and self.has_spare():
                await self._offer(replica, self._choose(seat, tried), greet)
                tried += 1
        self.successor, self.is_open = None, False
        is_given = self._is_given(seat)
        if is_given:
            log_event("seat-given", seat=seat, holder=self._seats.holders[seat].address)
        elif replica.end_hand_over():
            log_event("seat-kept", level="warning", seat=seat)
        else:
            log_event("seat-released", level="warning", seat=seat)
        return is_given

    def has_spare(self):
        """Tell whether any process without a seat is there."""
        return bool(self._spares())

    def _is_given(self, seat):
        return self._seats.holders[seat].address != self._address

    def _spares(self):
        held = self._seats.addresses()
        staying = self._heard.staying(trio.current_time())
        return [address for address in staying if address not in held]

    def _choose(self, seat, tried):
        """Choose who is offered the seat; None if nobody there knows of offers."""
        held = self._seats.addresses()
        able = self._heard.successors(trio.current_time())
        able = [address for address in able if address not in held]
        if not able:
            return None
        # Two holders that stop at the same time begin with different successors.
        first = sorted(self._seats.holders).index(seat)
        return able[(first + tried) % len(able)]

    async def _offer(self, replica, successor, greet):
        self.successor, self.is_open = successor, successor is None
        replica.begin_hand_over(successor)
        for address in self._spares() if successor is None else [successor]:
            await greet(address)
        await self._wait_for_progress(replica)
        if not self._is_given(replica.seat):
            # The next one copies anew what is voted for until then.
            replica.end_hand_over()

    async def _wait_for_progress(self, replica):
        seen, since_s = replica.succession_requests, trio.current_time()
        while not self._is_given(replica.seat):
            await trio.sleep(_POLL_S)
            if replica.succession_requests != seen or replica.is_handed_over:
                # A successor that was released votes, or withdraws when it is back.
                seen, since_s = replica.succession_requests, trio.current_time()
            if trio.current_time() - since_s > _PATIENCE_S:
                return
