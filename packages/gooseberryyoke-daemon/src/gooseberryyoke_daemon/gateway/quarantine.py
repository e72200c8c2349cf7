"""Keeps requests from servers that they, or parts of their prompts, may crash."""

import trio
from returns.result import Failure

from gooseberryyoke.crash import (
    ClearanceKind,
    RequestCrashes,
    Suspects,
    TrialServers,
    is_fingerprint,
    strictest,
)
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.gateway.broken_attempt import BrokenAttempt
from gooseberryyoke_daemon.gateway.crash_news import CrashNews
from gooseberryyoke_daemon.gateway.server_ends import ServerEnds
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.request_crash_log import log_ended_server, log_kept_back

__all__ = ["HELD_S", "Quarantine"]

HELD_S = 0.5
"""For which an answer has to give events before it proves anything: servers crash as
they begin to write."""
_LONGEST_WAIT_S = 3.0
"""For a trial to show whether a request may be sent."""
_LOOK_S = 0.05
"""Between two looks for a server without a trial."""
_WAIT_RETRY_S = 1.0
_LONGEST_RETRY_S = 60.0
_BROKEN = ("answer-cut", "no-answer")
"""Reasons of failed attempts whose connections ended."""
_STALLED = "answer-stalled"
"""After a stop of this gateway, or on a connection that has gone silent, a server that
has ended appears as one that stalls."""
_PART_REASONS = {
    ClearanceKind.WAIT: "prompt-suspected",
    ClearanceKind.REFUSED: "prompt-quarantined",
}
_REQUEST_REASONS = {
    ClearanceKind.WAIT: "request-suspected",
    ClearanceKind.REFUSED: "request-quarantined",
}


class Quarantine:
    """
    Decides before each attempt whether a request may be sent.

    Parameters
    ----------
    gateway : str
        Name of this one.
    client : HttpClient
        For servers.
    observer : GatewayObserver

    Attributes
    ----------
    suspects : Suspects
    requests : RequestCrashes
    news : CrashNews
    """

    __slots__ = (
        "suspects",
        "requests",
        "news",
        "_trial_servers",
        "_ends",
        "_observer",
        "_changed",
        "_checks",
    )

    def __init__(self, gateway, client, observer):
        self.suspects = Suspects(gateway)
        self.requests = RequestCrashes(gateway)
        self._trial_servers = TrialServers(gateway)
        self.news = CrashNews(
            self.suspects, self.requests, self._trial_servers, gateway, self._wake
        )
        self._ends = ServerEnds(client)
        self._observer = observer
        self._changed = trio.Event()
        self._checks = None

    def use_nursery(self, nursery):
        """
        Take the nursery that checks in the background whether servers have ended.

        Parameters
        ----------
        nursery : trio.Nursery
        """
        self._checks = nursery

    async def __call__(self, exchange, proceed):
        """Refuse at once what can't be sent for long; a filter."""
        now = trio.current_time()
        clearance = self._clearance(exchange, now)
        if clearance.kind is ClearanceKind.REFUSED:
            return Failure(self._refuse(exchange, clearance, now))
        return await proceed()

    def _clearance(self, exchange, now):
        if not self.requests:
            return self.suspects.clearance(exchange.parts, now)
        is_suspected = self.requests.is_suspected(exchange.fingerprint)
        of_parts = self.suspects.clearance(exchange.parts, now, is_suspected)
        of_request = self.requests.clearance(exchange.fingerprint, now)
        return strictest((of_request, of_parts))

    async def clear_to_send(self, exchange, may_isolate, until_heard):
        """
        Wait until a request may be sent.

        Parameters
        ----------
        exchange : Exchange
        may_isolate : callable
            Tells whether a server without another trial can be chosen for it.
        until_heard : callable
            Asynchronous; waits, after a stop of this process, for what it missed.

        Returns
        -------
        Refusal or None
            None once it may, be it on trial.
        """
        give_up_s = min(exchange.deadline_s, trio.current_time() + _LONGEST_WAIT_S)
        while True:
            await until_heard()
            now = trio.current_time()
            clearance = self._clearance(exchange, now)
            if clearance.kind is ClearanceKind.TRIAL:
                clearance = self._isolate(clearance, may_isolate, now)
            if clearance.kind in (ClearanceKind.FREE, ClearanceKind.TRIAL):
                self._begin_send(exchange, clearance, now)
                return None
            if clearance.kind is ClearanceKind.REFUSED or now >= give_up_s:
                return self._refuse(exchange, clearance, now)
            with trio.move_on_at(min(clearance.until_s, give_up_s)):
                await self._changed.wait()

    def _isolate(self, clearance, may_isolate, now):
        """Have a trial wait while each server is at work on another one."""
        until_s = self._trial_servers.next_trial_s(clearance.subject)
        if until_s <= now:
            if may_isolate():
                return clearance
            until_s = now + _LOOK_S
        return clearance.replace(kind=ClearanceKind.WAIT, until_s=until_s)

    def is_on_trial(self, server):
        """
        Tell whether a request is at a server that may crash it.

        Parameters
        ----------
        server : Server

        Returns
        -------
        bool
        """
        now = trio.current_time()
        address = server.entry.address
        return self._trial_servers.trial_until_s(address, now) is not None

    def note_sent(self, exchange, server):
        """
        Note to which server a request goes.

        Parameters
        ----------
        exchange : Exchange
        server : Server
        """
        if exchange.is_on_trial or exchange.is_send_counted:
            now = trio.current_time()
            # Some gateways may not have heard yet that the server started anew.
            subject = self._trial_servers.begin(server.entry.address, now)
            exchange.trial_server = subject
            self.news.tell([subject])

    def _end_trial_server(self, exchange):
        if exchange.trial_server is not None:
            subject, exchange.trial_server = exchange.trial_server, None
            self._trial_servers.end(subject, trio.current_time())
            self.news.tell([subject])

    def _begin_send(self, exchange, clearance, now):
        if clearance.kind is ClearanceKind.TRIAL:
            self._begin_trial(exchange, now)
        if self.requests and self.requests.begin_send(exchange.fingerprint, now):
            exchange.is_send_counted = True
            self.news.tell([exchange.fingerprint])

    def _begin_trial(self, exchange, now):
        exchange.is_on_trial = True
        parts = self.suspects.begin_trial(exchange.parts, now)
        self.news.tell(parts)
        log_event("trial-began", request=exchange.number, parts=",".join(parts))

    def note_held(self, exchange):
        """
        Note that an answer gives events, which proves the parts of its prompt.

        Parameters
        ----------
        exchange : Exchange
        """
        cleared = self.suspects.record_success(exchange.parts, trio.current_time())
        self._end_trial(exchange)
        if cleared:
            self._observer.parts_cleared(exchange.service, len(cleared))
            log_event("parts-cleared", request=exchange.number, parts=",".join(cleared))
            self.news.tell(cleared)
            self._wake()

    def note_answered(self, exchange):
        """
        Note a whole answer, which proves that the request does servers no harm.

        Parameters
        ----------
        exchange : Exchange
        """
        now = trio.current_time()
        if self.requests and self.requests.record_success(exchange.fingerprint, now):
            log_event(
                "request-cleared",
                request=exchange.number,
                fingerprint=exchange.fingerprint,
            )
            self.news.tell([exchange.fingerprint])
        self.note_over(exchange)

    async def note_failed(self, exchange, server, exc, has_held=False):
        """
        Note a failed attempt: its server may have ended under it.

        Parameters
        ----------
        exchange : Exchange
        server : Server
        exc : CallFailed
        has_held : bool
            Its answer had given events for a while.
        """
        try:
            if exc.reason in _BROKEN or exc.reason == _STALLED:
                await self._note_broken(exchange, server, exc.reason, has_held)
        finally:
            self.note_over(exchange)

    async def _note_broken(self, exchange, server, reason, has_held):
        broken = BrokenAttempt(exchange, server, has_held)
        # Until the check is done the attempt counts as being at its server.
        self.requests.begin_check(exchange.fingerprint, trio.current_time())
        if not exchange.parts or has_held or reason == _STALLED:
            # The next attempt must not wait: the parts don't depend on it, or the
            # server most likely lives.
            self._checks.start_soon(self._check_and_blame, exchange, broken)
        else:
            await self._check_and_blame(exchange, broken)

    async def _check_and_blame(self, exchange, broken):
        has_ended = await self._check(exchange, broken)
        if has_ended and exchange.parts and not broken.has_held:
            self._note_end(exchange, broken)

    async def _check(self, exchange, broken):
        """Find out whether a server has ended, and count it for the request."""
        fingerprint, has_ended = exchange.fingerprint, False
        try:
            has_ended = await self._ends.has_ended(broken.server, broken.sent_s)
            if has_ended:
                self._note_end_under_request(exchange, broken)
        finally:
            self.requests.end_check(fingerprint)
            self._wake()
        log_event(
            "broken-server-asked",
            request=exchange.number,
            fingerprint=fingerprint,
            server=broken.server.entry.id,
            has_ended=has_ended,
            has_held=broken.has_held,
            events=broken.events,
        )
        return has_ended

    def _note_end_under_request(self, exchange, broken):
        fingerprint = exchange.fingerprint
        life = self._ends.life_at(broken.server, broken.sent_s)
        if not self.requests.record_crash(
            life, fingerprint, broken.broken_s, broken.was_suspected, broken.sent_s
        ):
            return
        self._observer.server_ended_under(exchange.service)
        history, name = self.requests.get(fingerprint), broken.server.entry.id
        log_ended_server(exchange.number, fingerprint, name, history)
        self.news.tell([fingerprint])

    def _note_end(self, exchange, broken):
        now = trio.current_time()
        life = self._ends.life_at(broken.server, broken.sent_s)
        changed = self.suspects.record_crash(life, exchange.parts, now)
        if not changed:
            return
        counts = {part: self.suspects.get(part).crash_count(now) for part in changed}
        log_event(
            "server-ended",
            level="warning",
            request=exchange.number,
            server=broken.server.entry.id,
            parts=",".join(changed),
            suspected=",".join(part for part, count in counts.items() if count == 1),
            quarantined=",".join(part for part, count in counts.items() if count > 1),
        )
        self.news.tell(changed)
        self._wake()

    def note_over(self, exchange):
        """
        Note that an attempt is over, or that none was made.

        Parameters
        ----------
        exchange : Exchange
        """
        self._end_trial_server(exchange)
        if exchange.is_send_counted:
            exchange.is_send_counted = False
            self.requests.end_send(exchange.fingerprint)
            self.news.tell([exchange.fingerprint])
            self._wake()
        if exchange.is_on_trial:
            self._end_trial(exchange)
            self._wake()

    def _end_trial(self, exchange):
        if exchange.is_on_trial:
            exchange.is_on_trial = False
            if not exchange.is_send_counted:
                self._end_trial_server(exchange)
            self.news.tell(self.suspects.end_trial(exchange.parts))

    def _wake(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _refuse(self, exchange, clearance, now):
        if not is_fingerprint(clearance.subject):
            detail = f"servers ended under part {clearance.subject} of the prompt"
            reason = _PART_REASONS[clearance.kind]
            return _refusal(exchange, clearance, now, reason, detail)
        history = self.requests.get(clearance.subject)
        log_kept_back(exchange.number, clearance.subject, history, now)
        detail = f"servers ended under {clearance.subject}"
        reason = _REQUEST_REASONS[clearance.kind]
        return _refusal(exchange, clearance, now, reason, detail)


def _refusal(exchange, clearance, now, reason, detail):
    retry_s = _WAIT_RETRY_S
    if clearance.kind is ClearanceKind.REFUSED:
        retry_s = min(_LONGEST_RETRY_S, max(_WAIT_RETRY_S, clearance.until_s - now))
    if exchange.verdict in (None, Verdict.NOT_RUN):
        return Refusal(Verdict.NOT_RUN, 503, reason, detail, retry_s)
    return Refusal(exchange.verdict, 502, reason, detail)
