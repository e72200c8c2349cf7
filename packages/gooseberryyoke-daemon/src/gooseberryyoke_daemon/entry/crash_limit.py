"""Filter: keeps a request from further servers once three have ended under it."""

from returns.result import Failure, Success

from gooseberryyoke.crash import (
    ClearanceKind,
    merge_record,
    pack_record,
    request_fingerprint,
)
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.request_crash_log import log_ended_server, log_kept_back

__all__ = ["CrashLimit"]

_SERVER_ENDED = "server-ended"
_SUSPECTED_RETRY_S = 1.0
_QUARANTINED_RETRY_S = 60.0
_MOST_ANNOUNCED = 32
"""Requests in one announcement, those with the most ends."""


class CrashLimit:
    """
    Counts the servers that end under each request, over all entries.

    Parameters
    ----------
    name : str
        Name of this entry.
    crashes : RequestCrashes
    clock : Clock
    on_change : callable
        Called when other entries have to be told.
    """

    __slots__ = ("_clock", "_crashes", "_name", "_on_change")

    def __init__(self, name, crashes, clock, on_change):
        self._name = name
        self._crashes = crashes
        self._clock = clock
        self._on_change = on_change

    async def __call__(self, exchange, proceed):
        """Refuse the attempt, or make it and note whether its server ended."""
        fingerprint, now = _fingerprint_of(exchange), self._clock.now()
        clearance = self._crashes.clearance(fingerprint, now)
        if clearance.kind is not ClearanceKind.FREE:
            return Failure(self._refusal(exchange, clearance))
        was_suspected = self._crashes.begin_send(fingerprint, now)
        try:
            result = await proceed()
        finally:
            if was_suspected:
                self._crashes.end_send(fingerprint)
        self._note(exchange, fingerprint, result, was_suspected, now)
        return result

    def _note(self, exchange, fingerprint, result, was_suspected, sent_s):
        now = self._clock.now()
        if isinstance(result, Success):
            if self._crashes.record_success(fingerprint, now):
                self._on_change()
        elif result.failure().reason == _SERVER_ENDED:
            # The attempt stands for the life of its server, which entries don't know.
            life = exchange.order.attempt
            self._crashes.record_crash(life, fingerprint, now, was_suspected, sent_s)
            history = self._crashes.get(fingerprint)
            server = exchange.server.name
            log_ended_server(exchange.number, fingerprint, server, history)
            self._on_change()

    def _refusal(self, exchange, clearance):
        history = self._crashes.get(clearance.subject)
        log_kept_back(exchange.number, clearance.subject, history, self._clock.now())
        reason, retry_s = "request-suspected", _SUSPECTED_RETRY_S
        if clearance.kind is ClearanceKind.REFUSED:
            reason, retry_s = "request-quarantined", _QUARANTINED_RETRY_S
        status = 503 if exchange.verdict is Verdict.NOT_RUN else 502
        detail = f"servers ended under {clearance.subject}"
        return Refusal(exchange.verdict, status, reason, detail, retry_s)

    def records(self):
        """
        Pack what other entries have to know.

        Returns
        -------
        list of list
        """
        now = self._clock.now()
        self._crashes.remove_expired(now)
        subjects = self._crashes.most_crashed(_MOST_ANNOUNCED)
        return [pack_record(self._crashes, each, self._name, now) for each in subjects]

    def take(self, entry, records):
        """
        Take what another entry knows.

        Parameters
        ----------
        entry : str
            Name of the other one.
        records : list of list
        """
        for record in records:
            try:
                merge_record(self._crashes, record, entry, self._clock.now())
            except (AttributeError, TypeError, ValueError) as exc:
                why = str(exc)[:200]
                log_event("crashes-unreadable", level="warning", entry=entry, why=why)


def _fingerprint_of(exchange):
    req, account = exchange.request, exchange.account
    name = None if account is None else account.name
    return request_fingerprint(name, req.method, "", req.target, None, req.body)
