"""One backend server as this gateway sees it."""

import trio

from gooseberryyoke.membership.cold_report import parse_cold_ms
from gooseberryyoke.membership.server_registry import ServerState
from gooseberryyoke.placement import (
    ServerBackoff,
    ServerHealth,
    ServerLatency,
    ServerLoad,
)
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import Address

__all__ = ["Server"]


class Server:
    """
    One life of a server: where it is, how it does, and what it has said of itself.

    Parameters
    ----------
    entry : ServerEntry
    limit : RateLimit
        This gateway's part of what the server takes.
    group_health : GroupHealth or None
        Of its group.
    slot_users : object, optional
        With ``began``, ``ended`` and ``found_full``: is told when own requests take and
        leave slots of the server.

    Attributes
    ----------
    is_leaving : bool
        It has said so, in an answer or an announcement; it does not come back.
    is_open : bool
        Whether its group makes steps; true for a server without a group.
    """

    __slots__ = (
        "entry",
        "address",
        "is_leaving",
        "is_open",
        "load",
        "health",
        "limit",
        "backoff",
        "latency",
        "group_health",
        "_slot_users",
    )

    def __init__(self, entry, limit, group_health=None, slot_users=None):
        self._slot_users = slot_users
        self.is_leaving = False
        self.announced(entry)
        self.limit = limit
        self.group_health = group_health
        self.load = ServerLoad()
        self.health = ServerHealth()
        self.backoff = ServerBackoff()
        self.latency = ServerLatency()

    def note_began(self):
        """Note that an own request was sent."""
        self.load.own += 1
        if self._slot_users is not None:
            self._slot_users.began(self)

    def note_ended(self):
        """Note that an own request is over."""
        self.load.own -= 1
        if self._slot_users is not None:
            self._slot_users.ended(self)

    def note_found(self, load, is_refused, request):
        """
        Note what a request met when it came.

        Parameters
        ----------
        load : tuple of int or None
            Requests that run and wait, as the answer tells; this one is counted unless
            it was refused.
        is_refused : bool
        request : str
            Its id, for logs.
        """
        if load is None or sum(load) + is_refused <= self.entry.slots:
            return
        if self._slot_users is not None:
            self._slot_users.found_full(self, is_refused, request)

    def announced(self, entry):
        """
        Take a later announcement of the same life.

        Parameters
        ----------
        entry : ServerEntry
        """
        self.entry = entry
        self.is_open = entry.place is None or entry.place.is_open
        self.address = Address.parse(entry.address)
        if entry.state is not ServerState.READY:
            self.is_leaving = True

    def hear(self, report, request, sent_s):
        """
        Take what an answer of the server says.

        Parameters
        ----------
        report : ServerReport
        request : str
            Id of the request that was answered, for logs.
        sent_s : float
            When that was sent, on trio's clock.
        """
        now = trio.current_time()
        if report.unreadable:
            # What was known of these holds.
            log_event(
                "server-report-unreadable",
                level="warning",
                server=self.entry.id,
                told_to=request,
                fields=",".join(report.unreadable),
            )
        if report.load is not None:
            self.load.observe_report(*report.load, now)
        if "rate" not in report.unreadable:
            self._hear_rate(report.rate, now)
        if report.cold_ms is not None:
            self._hear_cold(report.cold_ms, request, sent_s, now)
        self._hear_backoff(report.backoff_s, request, sent_s, now)
        if report.is_leaving and not self.is_leaving:
            self.is_leaving = True
            log_event("server-leaving", server=self.entry.id, told_to=request)

    def _hear_cold(self, cold_ms, request, sent_s, now):
        taken_ms = parse_cold_ms(cold_ms)
        if taken_ms != cold_ms:
            log_event(
                "cold-time-unusual",
                level="warning",
                server=self.entry.id,
                told_to=request,
                stated=str(cold_ms),
                taken_ms=taken_ms,
            )
        until_s = now + taken_ms / 1000
        # An answer that was late on its way must not end what was announced since its
        # request was sent; no later heartbeat would correct that.
        said_s = now if until_s > self.limit.cold.ends_s else sent_s
        left_s = until_s - said_s if taken_ms else 0.0
        self.limit.update_cold(left_s, said_s, said_s, now)

    def _hear_rate(self, rate, now):
        before = self.limit.stated_rate
        self.limit.observe_answer(rate, now)
        if (rate is None) != (before is None):
            log_event("server-limit", server=self.entry.id, rate=rate)

    def _hear_backoff(self, pause_s, request, sent_s, now):
        if not pause_s:
            if self.backoff.answered(sent_s):
                log_event("server-backoff-ended", server=self.entry.id, told_to=request)
            return
        self.backoff.requested(pause_s, now)
        log_event(
            "server-backoff",
            server=self.entry.id,
            told_to=request,
            asked_ms=round(1000 * pause_s),
            left_ms=round(1000 * (self.backoff.until_s - now)),
        )
