"""How a replica comes to vote, and notices that it must not."""

import trio

from gooseberryyoke.register.changes import (
    FloorRaised,
    Founded,
    Joined,
    SeatTaken,
    SlotStored,
)
from gooseberryyoke.register.identity import largest_consistent
from gooseberryyoke.register.messages import Copy, CopyPage, Hello, HelloReply
from gooseberryyoke.register.repair import (
    Admission,
    judge_fresh,
    judge_kept,
    merge_slot,
)
from gooseberryyoke.register.state import READY
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import PeerFailed

__all__ = ["CopyFailed", "FolderOutdated", "Joining"]

_PAGE_SLOTS = 500
_FIRST_PAUSE_S = 0.05
_TELL_S = 2.0
"""Between two lines about a replica that can't vote yet."""


class FolderOutdated(Exception):
    """
    The folder must not vote again under its identity.

    Parameters
    ----------
    replies : list of HelloReply
        What the peers said.
    """

    def __init__(self, replies):
        super().__init__("peers know a later state of the folder")
        self.replies = replies


class CopyFailed(Exception):
    """A source could not give its state whole."""


class Joining:
    """
    Brings one life of a replica into the majority, then watches its seat.

    Parameters
    ----------
    replica : Replica
        With an acceptor and a running journal.
    position : int
        Count of records that the folder held at the start.
    """

    def __init__(self, replica, position):
        self._replica = replica
        self._position = position
        self._acceptor = replica.acceptor
        self._state = replica.acceptor.state
        self._page_slots = _PAGE_SLOTS
        self._began_s = trio.current_time()
        self._told_s = self._began_s

    async def run(self):
        """
        Join, then say hello for ever.

        Raises
        ------
        FolderOutdated
            If a folder that has voted must not do so again.
        """
        pause_s = _FIRST_PAUSE_S
        while not self._acceptor.is_admitted:
            await self._try_to_join()
            if not self._acceptor.is_admitted:
                await trio.sleep(pause_s * (1 + self._replica.rng.random()))
                pause_s = min(2 * pause_s, self._replica.hello_s)
        log_event("replica-votes", seat=self._replica.seat, after_ms=self._waited_ms())
        while True:
            await trio.sleep(self._replica.hello_s)
            self._watch_seat(await self._greet())

    async def _try_to_join(self):
        replies = await self._greet()
        size = len(self._replica.peers) + 1
        if self._state.status == READY:
            judgement = judge_kept(self._state, self._position, size, replies)
        else:
            founding = self._replica.founding
            judgement = judge_fresh(self._state, size, replies, founding)
        await self._follow(judgement, replies)
        if not self._acceptor.is_admitted:
            self._tell_waiting(judgement, replies)

    def _waited_ms(self):
        return round((trio.current_time() - self._began_s) * 1000)

    def _tell_waiting(self, judgement, replies):
        if trio.current_time() - self._told_s < _TELL_S:
            return
        self._told_s = trio.current_time()
        heard = {reply.sender.seat: reply.state for reply in replies}
        log_event(
            "replica-waiting",
            level="warning",
            seat=self._replica.seat,
            phase=self._acceptor.phase(),
            may=judgement.admission.value,
            after_ms=self._waited_ms(),
            seats=len(self._replica.peers) + 1,
            heard=heard,
            unheard=sorted(self._replica.peers.keys() - heard.keys()),
        )

    async def _follow(self, judgement, replies):
        admission = judgement.admission
        if admission is Admission.SERVE:
            self._acceptor.is_admitted = True
        elif admission is Admission.FOUND:
            await self._record([Founded(judgement.founders)])
            self._acceptor.is_admitted = True
        elif admission is Admission.COPY:
            await self._copy_all(judgement.sources)
        elif admission is Admission.REFUSE:
            self._tell_taken_over()
        elif admission is Admission.RENEW:
            if self._state.status == READY:
                raise FolderOutdated(replies)
            await self._replica.identify(self._state, replies)

    async def _record(self, changes):
        await self._replica.record(self._state, changes)

    async def _greet(self):
        hello = Hello(
            self._replica.seat,
            self._state.incarnation,
            self._replica.telling_position(),
            self._state.status != READY,
        )
        replies = []

        async def greet(peer):
            with trio.move_on_after(self._replica.hello_s):
                try:
                    reply = await peer.call(hello)
                except PeerFailed:
                    return
                if isinstance(reply, HelloReply):
                    replies.append(reply)

        async with trio.open_nursery() as nursery:
            for peer in self._replica.peers.values():
                nursery.start_soon(greet, peer)
        return replies

    def _watch_seat(self, replies):
        own = self._state.incarnation
        known = [reply.sender.roster.get(self._replica.seat, own) for reply in replies]
        if max(known, default=own) > own and self._acceptor.is_admitted:
            # Another process holds the seat now. Taking it back would make the
            # two replace each other for ever; proposers drop our votes already.
            self._acceptor.is_admitted = False
            self._tell_taken_over()

    def _tell_taken_over(self):
        if not self._replica.is_taken_over:
            log_event("seat-taken-over", level="error", seat=self._replica.seat)
        self._replica.is_taken_over = True

    async def _copy_all(self, sources):
        pages = []
        try:
            for seat in sources:
                pages.append(await self._copy_from(self._replica.peers[seat]))
        except (PeerFailed, CopyFailed) as exc:
            log_event(
                "copy-broken-off",
                level="warning",
                seat=self._replica.seat,
                detail=str(exc),
            )
            # A page of large values may be longer than a reply is allowed to be.
            self._page_slots = max(1, self._page_slots // 2)
            return
        if len(largest_consistent(pages)) < len(pages):
            return
        changes = [FloorRaised(max(page.floor for page in pages))]
        for page in pages:
            changes += [SeatTaken(*item) for item in page.sender.roster.items()]
        await self._record([*changes, Joined()])
        self._acceptor.is_admitted = True

    async def _copy_from(self, peer):
        """Copy all pages of one source; return the last."""
        after, first = "", None
        while True:
            message = Copy(
                self._replica.seat, self._state.incarnation, after, self._page_slots
            )
            page = await peer.call(message)
            if not isinstance(page, CopyPage):
                raise CopyFailed(f"no page but {page!r}")
            first = first or page
            if page.sender.incarnation != first.sender.incarnation:
                raise CopyFailed(f"{page.sender.seat} changed hands")
            await self._record(self._merged(page.slots))
            if not page.more:
                return page
            after = page.slots[-1].key

    def _merged(self, page):
        """List the changes that a page brings; most slots are alike everywhere."""
        changes = []
        for keyed in page:
            mine = self._state.slots.get(keyed.key)
            slot = merge_slot(mine, keyed.slot)
            if slot != mine:
                changes.append(SlotStored(keyed.key, slot))
        return changes
