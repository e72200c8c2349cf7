"""How a replica comes back to its seat, or into it for the first time."""

from gooseberryyoke.register import majority
from gooseberryyoke.register.changes import (
    FloorRaised,
    Identified,
    Joined,
    Reclaimed,
    SeatNamed,
    SeatTaken,
    SlotDropped,
    SlotStored,
)
from gooseberryyoke.register.identity import exclude_replaced
from gooseberryyoke.register.messages import (
    Confirm,
    Confirmed,
    Copy,
    CopyPage,
    Hello,
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
    merge_slot,
    next_incarnation,
)
from gooseberryyoke.register.state import FRESH, HANDED_OVER, READY

__all__ = ["WaysIn"]

_PAGE_SLOTS = 2


class WaysIn:
    """
    Takes replicas on their way in, a call at a time.

    Parameters
    ----------
    world : RegisterWorld
    """

    def __init__(self, world):
        self._world = world

    def go_on(self, replica):
        """
        Take one step of a replica that is up.

        Parameters
        ----------
        replica : WorldReplica
        """
        if not replica.is_ready:
            self._try_to_join(replica)
            return
        if is_replaced(replica.state, self._greet(replica)):
            replica.acceptor.is_admitted = False

    def _try_to_join(self, replica):
        if replica.state.status == HANDED_OVER:
            return
        if replica.way_in is not None:
            if next(replica.way_in, None) is None:
                replica.way_in = None
            return
        hellos = self._greet(replica)
        size = len(self._world.seats)
        if replica.state.status != FRESH:
            position = len(replica.synced)
            judgement = decide_rejoin(replica.state, position, size, hellos)
            if judgement.admission is Admission.SERVE:
                replica.acceptor.is_admitted = True
            elif judgement.admission is Admission.REFUSE:
                self._give_up(replica)
            elif judgement.admission is Admission.RECLAIM:
                replica.way_in = self._reclaim(replica, judgement.sources, hellos)
            return
        judgement = decide_first_join(replica.state, size, hellos, founding=frozenset())
        if judgement.admission is Admission.RENEW:
            incarnation = next_incarnation(replica.seat, hellos, self._world.rng)
            replica.record([Identified(replica.seat, incarnation)])
            replica.forget_copy()
        elif judgement.admission is Admission.COPY:
            self._copy(replica, judgement.sources)

    def _give_up(self, replica):
        """Leave the seat to its other folder."""
        other = self._world.aside.pop(replica.seat, None)
        if other is not None:
            self._world.replicas[replica.seat] = other
            self._world.faults_injected["seat given up"] += 1

    def _reclaim(self, replica, sources, hellos):
        """Take the seat back, a call at a time."""
        if (yield from self._contest(replica, sources)) is not ContestOutcome.WON:
            return
        if replica.state.status == READY or is_replaced(replica.state, hellos):
            former = replica.state.former or replica.state.incarnation
            incarnation = next_incarnation(replica.seat, hellos, self._world.rng)
            replica.record([Reclaimed(incarnation, former)])
        name = Copy(replica.seat, replica.state.incarnation, "", 0)
        named = yield from self._ask(sources, name, CopyPage)
        if (yield from self._contest(replica, named)) is ContestOutcome.WON:
            replica.record([Joined()])
            replica.acceptor.is_admitted = True
            self._world.faults_injected["seat reclaimed"] += 1

    def _contest(self, replica, seats):
        reports = yield from self._ask(seats, SeatQuery(), SeatReport)
        reports = list(reports.values())
        if len(exclude_replaced(reports)) < len(reports):
            return ContestOutcome.OPEN
        contest = decide_contest(replica.state, len(self._world.seats), reports)
        if contest is ContestOutcome.LOST:
            self._give_up(replica)
        return contest

    def _ask(self, seats, message, kind):
        """Call some seats, in any order, a step each; return the replies of a kind."""
        replies = {}
        for seat in self._world.rng.sample(sorted(seats), len(seats)):
            other = self._world.replicas[seat]
            reply = self._world.call(other, message) if other.is_up else None
            if isinstance(reply, kind):
                replies[seat] = reply
            yield seat
        return replies

    def _greet(self, replica):
        hello = Hello(replica.seat, replica.state.incarnation, 0, True)
        return [
            self._world.call(other, hello)
            for other in self._world.replicas.values()
            if other is not replica and other.is_up
        ]

    def _copy(self, replica, sources):
        """Copy one more page from one source; end once all are copied."""
        waiting = [seat for seat in sources if not _is_whole(replica.copied.get(seat))]
        if not waiting:
            self._end_copy(replica, sources)
            return
        if not replica.copied:
            slots = list(replica.state.slots)
            replica.record([SlotDropped(key, replica.state.floor) for key in slots])
        seat = self._world.rng.choice(waiting)
        page = replica.copied.get(seat)
        after = page.slots[-1].key if page is not None else ""
        message = Copy(replica.seat, replica.state.incarnation, after, _PAGE_SLOTS)
        page = self._world.call(self._world.replicas[seat], message)
        if not isinstance(page, CopyPage):
            replica.forget_copy()
            return
        replica.copied[seat] = page
        replica.record([_merged(replica, keyed) for keyed in page.slots])

    def _end_copy(self, replica, sources):
        pages = [replica.copied[seat] for seat in sources]
        if len(exclude_replaced(pages)) < len(pages):
            replica.forget_copy()
            return
        replica.way_in = self._confirm(replica, pages)

    def _confirm(self, replica, pages):
        """Have a majority note that the copy is whole, a call at a time."""
        sources = [page.sender.seat for page in pages]
        reports = yield from self._ask(sources, SeatQuery(), SeatReport)
        if len(reports) < len(sources):
            replica.forget_copy()
            return
        floor = max(page.floor for page in pages)
        changes = [FloorRaised(floor)]
        for page in pages:
            changes += [SeatNamed(*item) for item in page.sender.roster.items()]
        for report in reports.values():
            for seat, confirmed in report.joined.items():
                changes += [SeatTaken(seat, incarnation) for incarnation in confirmed]
        replica.record(changes)
        message = Confirm(replica.seat, replica.state.incarnation)
        others = [seat for seat in self._world.seats if seat != replica.seat]
        confirmed = yield from self._ask(others, message, Confirmed)
        if len(confirmed) >= majority(len(self._world.seats)):
            replica.record([Joined()])
            replica.acceptor.is_admitted = True
            self._world.faults_injected["repair"] += 1


def _is_whole(page):
    return page is not None and not page.more


def _merged(replica, keyed):
    slot = merge_slot(replica.state.slots.get(keyed.key), keyed.slot)
    return SlotStored(keyed.key, slot)
