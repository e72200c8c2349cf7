"""How a new holder of a seat copies the state of the others."""

from gooseberryyoke.register.changes import FloorRaised, SlotDropped, SlotStored
from gooseberryyoke.register.identity import exclude_replaced
from gooseberryyoke.register.messages import Copy, CopyPage
from gooseberryyoke.register.repair import merge_slot
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import PeerFailed

__all__ = ["StateCopy"]

_PAGE_SLOTS = 500


class _CopyFailed(Exception):
    """A source could not give its state whole."""


class StateCopy:
    """
    Copies the slots of several replicas, as often as it takes.

    Parameters
    ----------
    replica : Replica
        The new holder, with a running journal.
    """

    __slots__ = ("_replica", "_state", "_page_slots")

    def __init__(self, replica):
        self._replica = replica
        self._state = replica.acceptor.state
        self._page_slots = _PAGE_SLOTS

    async def take(self, sources):
        """
        Copy all that the sources hold.

        Parameters
        ----------
        sources : list of str
            Seats.

        Returns
        -------
        list of CopyPage
            The last of each source; empty if the copy is not whole.
        """
        peers = [self._replica.peers[seat] for seat in sources]
        pages = await self._take_all(peers, self._merged)
        if len(exclude_replaced(pages)) < len(pages):
            return []
        await self._raise_floor(pages)
        return pages

    async def take_over(self, holder):
        """
        Copy a replica that votes no more, as it stands.

        Its votes count as those of this replica from then on, so that none is marked
        as copied.

        Parameters
        ----------
        holder : SeatPeer or HttpPeer

        Returns
        -------
        bool
            Whether the copy is whole.
        """
        pages = await self._take_all([holder], _as_they_are)
        await self._raise_floor(pages)
        return bool(pages)

    async def _take_all(self, peers, to_changes):
        try:
            await self._drop_left_over()
            return [await self._take_from(peer, to_changes) for peer in peers]
        except (PeerFailed, _CopyFailed) as exc:
            log_event(
                "copy-broken-off",
                level="warning",
                seat=self._replica.seat,
                detail=str(exc),
            )
            # A page of large values may be longer than a reply is allowed to be.
            self._page_slots = max(1, self._page_slots // 2)
            return []

    async def _raise_floor(self, pages):
        floor = max((page.floor for page in pages), default=0)
        await self._replica.record(self._state, [FloorRaised(floor)])

    async def _drop_left_over(self):
        """
        Drop what an earlier copy has left, which may have been broken off long ago.

        A key that has been deleted since would come back from it.
        """
        dropped = [SlotDropped(key, self._state.floor) for key in self._state.slots]
        await self._replica.record(self._state, dropped)

    async def _take_from(self, peer, to_changes):
        """Copy all pages of one source; return the last."""
        after, first = "", None
        while True:
            message = Copy(
                self._replica.seat, self._state.incarnation, after, self._page_slots
            )
            page = await peer.call(message)
            if not isinstance(page, CopyPage):
                raise _CopyFailed(f"no page but {page!r}")
            first = first or page
            if page.sender.incarnation != first.sender.incarnation:
                raise _CopyFailed(f"{page.sender.seat} changed hands")
            await self._replica.record(self._state, to_changes(page.slots))
            if not page.more:
                return page
            after = page.slots[-1].key

    def _merged(self, slots):
        """List the changes that a page brings; most slots are alike everywhere."""
        changes = []
        for keyed in slots:
            mine = self._state.slots.get(keyed.key)
            slot = merge_slot(mine, keyed.slot)
            if slot != mine:
                changes.append(SlotStored(keyed.key, slot))
        return changes


def _as_they_are(slots):
    return [SlotStored(keyed.key, keyed.slot) for keyed in slots]
