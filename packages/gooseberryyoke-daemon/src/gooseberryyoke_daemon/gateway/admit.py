"""Filter: requests wait for a place at a server, or are told when to come back."""

from functools import partial
from math import inf

import trio
from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.placement import Waiter, WaitingLine
from gooseberryyoke.routing import urgency
from gooseberryyoke_daemon.gateway.evacuated import refuse_evacuated
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Admit"]

_LOOK_S = 0.01
"""Between two looks for free places while somebody waits; places are freed by other
gateways' requests too, of which a datagram tells."""
_TELL_S = 1.0
"""Between two lines about a service without free places."""
_LONGEST_FIRST_PART = 0.7
"""Of the time within which an answer is on time. When overload makes the first events
slower than that, fresh requests must still go before those that are late: otherwise
all count as late, are served in turn, and none is on time until the load falls."""


class _Place:
    """What a waiting request is woken by."""

    __slots__ = ("event", "is_given", "server")

    def __init__(self):
        self.event = trio.Event()
        self.is_given = False
        self.server = None


class Admit:
    """
    Lets requests through while servers have places.

    Parameters
    ----------
    servers : Servers
    warm_up : WarmUp
        Holds requests until servers are known. Passed on before, they would all be
        sent to the first few servers that announce themselves, which refuse most.
    """

    __slots__ = (
        "_servers",
        "_lines",
        "_places",
        "_shown",
        "_wanted",
        "_warm_up",
        "_told_s",
    )

    def __init__(self, servers, warm_up):
        self._servers = servers
        self._warm_up = warm_up
        self._lines = {}
        self._places = {}
        self._shown = set()
        self._wanted = trio.Event()
        self._told_s = {}

    async def __call__(self, exchange, proceed):
        """Wait if all places are taken; set whether the answer can be on time."""
        await self._warm_up.wait_for(
            lambda: self._servers.is_known(exchange.service), exchange.deadline_s
        )
        if self._servers.is_evacuated(exchange.service):
            return Failure(self._refuse_evacuated(exchange))
        line = self._lines.setdefault(exchange.service, WaitingLine())
        elsewhere = self._manage(exchange.service, line)
        waiter = self._waiter(exchange)
        line.record_arrival(waiter, trio.current_time())
        exchange.is_due = waiter.is_due
        has_to_wait = len(line) or not self._may_begin(
            exchange, line, waiter, elsewhere
        )
        if has_to_wait:
            refusal = await self._wait(exchange, line, waiter)
            if refusal is not None:
                return Failure(refusal)
        self._note_begun(exchange, line, waiter, has_to_wait)
        return await proceed()

    def _manage(self, service, line):
        """
        Set whether a line is managed for contention, by the table in force.

        Returns
        -------
        dict of int to int or None
            Requests that wait at other gateways, by urgency; None if the line is not
            managed.
        """
        if not self._servers.is_contended(service):
            line.configure(None, 0)
            return None
        elsewhere = self._servers.peers.waiting_elsewhere(service)
        line.configure(
            self._servers.contention.urgency_levels(service),
            self._servers.reservable_slots(service),
            1 + self._servers.peers.count,
            elsewhere,
            partial(self._servers.most_kept, service),
        )
        return elsewhere

    def _may_begin(self, exchange, line, waiter, elsewhere):
        service, now = exchange.service, trio.current_time()
        free = self._servers.free_to_begin(service)
        is_late = not waiter.can_be_on_time(now)
        kept = self._servers.kept_places(service) if is_late else 0
        if free is not None and free <= kept:
            return False
        slots = self._servers.shared.at_once(service)
        if slots is not None and not slots:
            return False
        if slots:
            exchange.assigned = slots[0]
        if elsewhere is None:
            return True
        if free is None:
            free = self._servers.free_places(service)
        return line.may_start(waiter, now, free, elsewhere)

    def _note_begun(self, exchange, line, waiter, has_waited=True):
        now = trio.current_time()
        exchange.is_late = not waiter.can_be_on_time(now)
        line.record_start(now, exchange.is_late, has_waited, waiter)

    def waiting(self):
        """
        Count the requests that wait here for services managed for contention.

        Those that can't be on time any more are left out: they hold no slot back from
        others.

        Returns
        -------
        dict of str to dict of int to int
            By service and urgency; services that nobody waits for are left out.
        """
        now = trio.current_time()
        counts = {
            service: line.counts_by_urgency(now)
            for service, line in self._lines.items()
            if len(line) and self._servers.is_contended(service)
        }
        return {service: levels for service, levels in counts.items() if levels}

    async def place_again(self, exchange):
        """
        Wait once more, after a server has turned the request away.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        Refusal or None
            None once there is a place.
        """
        line = self._lines[exchange.service]
        elsewhere = self._manage(exchange.service, line)
        waiter = self._waiter(exchange)
        if self._may_begin(exchange, line, waiter, elsewhere):
            return None
        line.requeue(waiter, trio.current_time())
        least_rate = self._servers.least_rate(exchange.service)
        refusal = await self._wait_for_place(exchange, line, waiter, least_rate)
        if refusal is None:
            self._note_begun(exchange, line, waiter)
        return refusal

    def return_after_s(self, exchange):
        """
        Tell when a request that no server took is to come back.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        float
            In seconds.
        """
        rate = self._servers.least_rate(exchange.service)
        closed_s = self._servers.closed_for_s(exchange.service)
        line = self._lines[exchange.service]
        waiter = self._waiter(exchange)
        return line.assign_retry(waiter, trio.current_time(), rate, closed_s)

    def _waiter(self, exchange):
        route = exchange.route
        exchange.urgency = urgency(route, exchange.account)
        on_time_until_s = exchange.received_s + route.target_s - exchange.tried_for_s
        first_s = self._servers.first_s(exchange.service)
        return Waiter(
            exchange.received_s,
            on_time_until_s,
            exchange.deadline_s,
            exchange.tried_for_s > 0.0,
            exchange.urgency,
            min(first_s, route.target_s * _LONGEST_FIRST_PART),
            exchange.sends,
            None if exchange.account is None else exchange.account.name,
            exchange.is_due,
        )

    async def _wait(self, exchange, line, waiter):
        least_rate = self._servers.least_rate(exchange.service)
        closed_s = self._servers.closed_for_s(exchange.service)
        self._note_ahead(exchange, line, waiter)
        retry_s = line.admit(waiter, trio.current_time(), least_rate, closed_s)
        if retry_s is not None:
            return self._refusal(exchange, line, "overloaded", retry_s)
        return await self._wait_for_place(exchange, line, waiter, least_rate)

    def _note_ahead(self, exchange, line, waiter):
        ahead = line.ahead_by_urgency(waiter, trio.current_time())
        exchange.ahead_by_urgency = {str(level): n for level, n in ahead.items()}

    async def _wait_for_place(self, exchange, line, waiter, least_rate):
        place = self._places[waiter] = _Place()
        self._shown.add((exchange.service, waiter.urgency))
        self._wanted.set()
        try:
            with trio.move_on_at(min(waiter.wait_until_s, waiter.late_from_s)):
                await place.event.wait()
            # Whoever has become late is told so at once, if that ends its prospects.
            now = trio.current_time()
            if not (place.is_given or line.is_wait_too_long(waiter, now, least_rate)):
                with trio.move_on_at(waiter.wait_until_s):
                    await place.event.wait()
            if not place.is_given:
                self._note_ahead(exchange, line, waiter)
        finally:
            line.remove(waiter)
            del self._places[waiter]
        waited_s = trio.current_time() - waiter.arrived_s
        log_event(
            "request-waited",
            request=exchange.number,
            service=exchange.service,
            waited_ms=round(waited_s * 1000),
            got_place=place.is_given,
            urgency=waiter.urgency,
            ahead=exchange.ahead,
            ahead_by_urgency=exchange.ahead_by_urgency,
        )
        if place.is_given:
            exchange.assigned = place.server
            return None
        closed_s = self._servers.closed_for_s(exchange.service)
        retry_s = line.assign_retry(waiter, trio.current_time(), least_rate, closed_s)
        return self._refusal(exchange, line, "no-place", retry_s)

    def _refuse_evacuated(self, exchange):
        return refuse_evacuated(exchange.service, self._servers.evacuation)

    def _refusal(self, exchange, line, reason, retry_s):
        if self._servers.is_evacuated(exchange.service):
            return self._refuse_evacuated(exchange)
        self._tell_restraints(exchange.service, reason)
        detail = f"{len(line)} requests wait for {exchange.service}"
        if self._servers.is_contended(exchange.service):
            detail += f", {exchange.ahead} go first"
        if self._servers.has_just_started(exchange.service):
            reason = "servers-cold"
            detail = f"all servers of {exchange.service} are cold after a start"
        elif self._servers.closed_for_s(exchange.service):
            reason = "servers-paused"
            detail = f"all servers of {exchange.service} asked for a pause"
        return Refusal(Verdict.NOT_RUN, 503, reason, detail, retry_s)

    def _tell_restraints(self, service, reason):
        now = trio.current_time()
        if now - self._told_s.get(service, -inf) >= _TELL_S:
            self._told_s[service] = now
            counts = self._servers.restraints(service)
            log_event("no-free-place", service=service, why=reason, **counts)

    def count_waiting(self):
        """
        Count those who wait.

        Returns
        -------
        dict of tuple to int
            By service and urgency; those that waited before and don't now have 0.
        """
        counts = dict.fromkeys(self._shown, 0)
        for service, line in self._lines.items():
            waiting = line.counts_by_urgency()
            counts.update({(service, level): n for level, n in waiting.items()})
        return counts

    async def run(self):
        """Give free places to those who wait, until cancelled."""
        while True:
            if not any(self._lines.values()):
                self._wanted = trio.Event()
                await self._wanted.wait()
            for service, line in self._lines.items():
                if line:
                    elsewhere = self._manage(service, line)
                    self._give_places(service, line, elsewhere)
            await trio.sleep(_LOOK_S)

    def _give_places(self, service, line, elsewhere):
        now = trio.current_time()
        if self._servers.is_evacuated(service):
            # Their wait ends with a refusal.
            for waiter in line.expiring_before(inf):
                self._places[waiter].event.set()
            return
        closed_s = self._servers.closed_for_s(service)
        if closed_s:
            for waiter in line.expiring_before(now + closed_s):
                self._places[waiter].event.set()
            return
        free = self._servers.free_places(service)
        if not free:
            return
        kept = self._servers.kept_places(service)
        slots = self._servers.shared.usable(service)
        if slots is None:
            slots = [None] * free
        for left, server in zip(range(free, 0, -1), slots, strict=False):
            waiter = line.next(now, left, kept, elsewhere)
            if waiter is None:
                return
            place = self._places[waiter]
            place.is_given = True
            place.server = server
            place.event.set()
