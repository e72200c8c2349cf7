"""How a replica comes to vote, and notices that it must not."""

import trio

from gooseberryyoke.register.changes import (
    Founded,
    Joined,
    Reclaimed,
    Resumed,
    SeatNamed,
    SeatTaken,
)
from gooseberryyoke.register.identity import exclude_replaced, majority
from gooseberryyoke.register.messages import (
    Confirm,
    Confirmed,
    Copy,
    CopyPage,
    Hello,
    HelloReply,
    SeatQuery,
    SeatReport,
)
from gooseberryyoke.register.repair import (
    Admission,
    ContestOutcome,
    decide_contest,
    decide_first_join,
    decide_rejoin,
    is_replaced,
    next_incarnation,
)
from gooseberryyoke.register.state import FRESH, HANDED_OVER, READY
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import PeerFailed
from gooseberryyoke_daemon.replica.copying import StateCopy
from gooseberryyoke_daemon.replica.succession import Succession, SuccessionOutcome

__all__ = ["FolderOutdated", "Joining"]

_FIRST_PAUSE_S = 0.05
_OUTBID_PAUSE_S = 3.0
_WITHDRAW_S = 4.0
"""After the first request to be confirmed, until a holder that can't join makes room.
Longer than a replica takes to start again."""
_SUCCEED_S = 4.0
"""For a holder that offers its seat to answer, also if it is started again meanwhile.
Then the seat is given up, and taken like any other that is silent."""
_SUCCESSOR_S = 5.0
"""For a released successor to withdraw, if it hasn't joined; longer than it tries."""
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
        self._copy = StateCopy(replica)
        self._succession = Succession(replica, self._copy)
        self._has_renewed = False
        self._is_named = False
        self._asked_s = None
        self._began_s = trio.current_time()
        self._told_s = self._began_s

    async def run(self):
        """
        Join, then say hello for ever; join again if another takes the seat.

        Raises
        ------
        FolderOutdated
            If a folder that has voted must not do so again.
        """
        while True:
            await self._join()
            log_event(
                "replica-votes", seat=self._replica.seat, after_ms=self._waited_ms()
            )
            await self._watch_seat()
            self._position = self._replica.journal.position
            self._began_s = self._told_s = trio.current_time()

    async def _join(self):
        pause_s = _FIRST_PAUSE_S
        while not self._acceptor.is_admitted:
            await self._try_to_join()
            if not self._acceptor.is_admitted:
                await trio.sleep(pause_s * (1 + self._replica.rng.random()))
                pause_s = min(2 * pause_s, self._replica.hello_s)

    async def _watch_seat(self):
        replies = []
        while not is_replaced(self._state, replies):
            await trio.sleep(self._replica.hello_s)
            if self._state.status == HANDED_OVER:
                self._acceptor.is_admitted = False
                return
            replies = await self._greet()
        # Another process has begun to take the seat. Proposers drop our votes
        # already; whether it also gets that far decides who holds the seat.
        self._acceptor.is_admitted = False
        log_event("seat-contested", level="warning", seat=self._replica.seat)

    async def _try_to_join(self):
        if self._state.status == HANDED_OVER:
            await self._resume_without_successor()
            return
        if self._is_succeeding():
            await self._succeed()
            return
        replies = await self._greet()
        size = len(self._replica.peers) + 1
        if self._state.status != FRESH:
            judgement = decide_rejoin(self._state, self._position, size, replies)
        else:
            founding = self._replica.founding
            judgement = decide_first_join(self._state, size, replies, founding)
        await self._follow(judgement, replies)
        if not self._acceptor.is_admitted:
            self._tell_waiting(judgement, replies)
            if judgement.admission is Admission.WAIT and self._is_stuck():
                # Some may have confirmed this holder, and can't tell whether all
                # others have: the former holder waits for as long as this one does.
                self._tell_taken_over()

    def _is_succeeding(self):
        if self._state.status != FRESH:
            return False
        # Others name the later identity of one that has begun to copy them.
        is_offered = self._replica.offer is not None and not self._is_named
        return self._succession.is_begun or is_offered

    async def _succeed(self):
        if not self._succession.is_begun:
            self._succession.begin(self._replica.offer)
        if not self._succession.is_copied and not await self._reaches_majority():
            # In the seat it would be of less use than the holder that stops.
            outcome = SuccessionOutcome.UNANSWERED
        else:
            outcome = await self._succession.attempt()
        if outcome is SuccessionOutcome.REFUSED:
            self._tell_taken_over()
        elif outcome is SuccessionOutcome.UNANSWERED:
            if self._succession.lasts_s() > _SUCCEED_S:
                self._tell_taken_over()
        else:
            self._acceptor.is_admitted = True
            # So that others drop the votes of an old copy of the predecessor's folder.
            confirm = Confirm(self._replica.seat, self._state.incarnation)
            await self._ask(self._replica.peers, confirm, Confirmed)

    async def _reaches_majority(self):
        size = len(self._replica.peers) + 1
        return len(await self._greet()) + 1 >= majority(size)

    async def _resume_without_successor(self):
        """Vote again if the successor has withdrawn, and so has never voted."""
        if self._state.successor in self._replica.withdrawn():
            log_event("seat-resumed", level="warning", seat=self._replica.seat)
            self._acceptor.take_back()
            await self._record([Resumed()])
        elif trio.current_time() - self._began_s > _SUCCESSOR_S:
            # It may have voted and been lost: the seat is to be taken like any other.
            self._tell_taken_over()

    def _is_stuck(self):
        asked_s = self._asked_s
        return asked_s is not None and trio.current_time() - asked_s > _WITHDRAW_S

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
            self._is_named = True
            await self._copy_all(judgement.sources)
        elif admission is Admission.REFUSE:
            self._tell_taken_over()
        elif admission is Admission.RECLAIM:
            await self._reclaim(judgement.sources, replies)
        elif admission is Admission.RENEW:
            await self._renew(replies)

    async def _renew(self, replies):
        if self._state.status == READY:
            raise FolderOutdated(replies)
        if self._has_renewed:
            # Another process takes the seat at the same time. Outbidding each other
            # at once, neither would come to an end.
            self._tell_taken_over()
            await trio.sleep(_OUTBID_PAUSE_S * (1 + self._replica.rng.random()))
        self._has_renewed = True
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
        replies = await self._ask(self._replica.peers, hello, HelloReply)
        return list(replies.values())

    def _tell_taken_over(self):
        if not self._replica.is_taken_over:
            log_event("seat-taken-over", level="error", seat=self._replica.seat)
        self._replica.is_taken_over = True

    async def _copy_all(self, sources):
        pages = await self._copy.take(sources)
        if not pages:
            return
        reports = await self._ask(sources, SeatQuery(), SeatReport)
        if len(reports) < len(sources):
            return
        changes = []
        for page in pages:
            changes += [SeatNamed(*item) for item in page.sender.roster.items()]
        for report in reports.values():
            for seat, confirmed in report.joined.items():
                changes += [SeatTaken(seat, incarnation) for incarnation in confirmed]
        await self._record(changes)
        if await self._is_confirmed():
            await self._replica.before_joining()
            await self._record([Joined()])
            self._acceptor.is_admitted = True

    async def _is_confirmed(self):
        """
        Have a majority note that this holder votes from now on.

        Until then the seat's former holder may come back: it has lost nothing, and a
        seat whose former and new holder are both out counts for a lost disk.
        """
        await self._replica.before_confirming(self._state.incarnation)
        if self._asked_s is None:
            self._asked_s = trio.current_time()
        confirm = Confirm(self._replica.seat, self._state.incarnation)
        confirmed = await self._ask(self._replica.peers, confirm, Confirmed)
        return len(confirmed) >= majority(len(self._replica.peers) + 1)

    async def _reclaim(self, sources, replies):
        """
        Take the seat back from a holder that has begun to copy and not joined.

        The peers name this holder's new identity, which bars the other from joining;
        what they have confirmed before and after that tells whether it has.
        """
        outcome = await self._contest(sources)
        if outcome is not ContestOutcome.WON or self._replica.yields:
            return
        if self._state.status == READY or is_replaced(self._state, replies):
            former = self._state.former or self._state.incarnation
            incarnation = next_incarnation(
                self._replica.seat, replies, self._replica.rng
            )
            log_event(
                "seat-reclaimed",
                level="warning",
                seat=self._replica.seat,
                generation=incarnation.generation,
                former=former.generation,
            )
            await self._record([Reclaimed(incarnation, former)])
        name = Copy(self._replica.seat, self._state.incarnation, "", 0)
        named = await self._ask(sources, name, CopyPage)
        if await self._contest(named) is ContestOutcome.WON:
            await self._record([Joined()])
            self._acceptor.is_admitted = True

    async def _contest(self, seats):
        reports = list((await self._ask(seats, SeatQuery(), SeatReport)).values())
        if len(exclude_replaced(reports)) < len(reports):
            return ContestOutcome.OPEN
        size = len(self._replica.peers) + 1
        withdrawn = self._replica.withdrawn()
        contest = decide_contest(self._state, size, reports, withdrawn)
        if contest is ContestOutcome.LOST:
            self._tell_taken_over()
        return contest

    async def _ask(self, seats, message, kind):
        """Send a message to some seats; return the replies of a kind, by seat."""
        replies = {}

        async def ask(seat):
            with trio.move_on_after(self._replica.hello_s):
                try:
                    reply = await self._replica.peers[seat].call(message)
                except PeerFailed:
                    return
                if isinstance(reply, kind):
                    replies[seat] = reply

        async with trio.open_nursery() as nursery:
            for seat in seats:
                nursery.start_soon(ask, seat)
        return replies
