"""Keeps directories and fleet in step with the announcements."""

from gooseberryyoke.balance import LoadReport
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Roster"]

_PREFILL_TOKENS_PER_S = 8000.0


class Roster:
    """
    Applies announcements to what the filters use.

    Parameters
    ----------
    servers, entries : Directory
    fleet : Fleet
    admission : Admission
    crash_limit : CrashLimit
    heard_of_bundle : callable
        Takes versions that agents have heard of.
    clock : Clock
    """

    def __init__(
        self, servers, entries, fleet, admission, crash_limit, heard_of_bundle, clock
    ):
        self._crash_limit = crash_limit
        self._servers = servers
        self._entries = entries
        self._fleet = fleet
        self._admission = admission
        self._heard_of_bundle = heard_of_bundle
        self._clock = clock

    def entry_announced(self, announcement):
        """Take an `EntryAnnouncement`."""
        now = self._clock.now()
        if self._entries.apply(announcement, now):
            self._admission.update_peer_usage(
                announcement.name, announcement.usage, now
            )
            self._crash_limit.take(announcement.name, announcement.crashes)

    def server_announced(self, announcement):
        """Take a `ServerAnnouncement`."""
        known = self._servers.get(announcement.name)
        if not self._servers.apply(announcement, self._clock.now()):
            return
        if known is None or known.leaving != announcement.leaving:
            log_event(
                "server-announced",
                server=announcement.name,
                leaving=announcement.leaving,
            )
        self._fleet.announced(
            announcement.name,
            announcement.incarnation,
            announcement.data_centre,
            announcement.service,
            announcement.models,
            announcement.leaving,
        )
        self._heard_of_bundle(announcement.bundle_version)
        if announcement.report:
            report = _report_of(announcement)
            self._fleet.reported(announcement.name, report, self._clock.now())

    def servers_by_service(self):
        """
        Count the backend servers that take requests.

        Returns
        -------
        dict of str to int
        """
        live = self._servers.live(self._clock.now())
        counts = dict.fromkeys((server.service for server in live), 0)
        for server in live:
            counts[server.service] += not server.leaving
        return counts

    def expire(self):
        """Take silent servers out and forget those that are long gone."""
        now = self._clock.now()
        live = {server.name for server in self._servers.live(now)}
        for view in list(self._fleet):
            if view.server_id not in live:
                log_event("server-silent", server=view.server_id)
                self._fleet.removed(view.server_id)
        self._servers.remove_expired(now)
        self._entries.remove_expired(now)


def _report_of(announcement):
    report = announcement.report
    return LoadReport(
        announcement.sequence,
        announcement.report_age_s,
        int(report.get("running", 0)),
        int(report.get("queued", 0)),
        max(1, int(report.get("batch_slots", 1))),
        float(report.get("step_ms", 0.0)) / 1000,
        float(report.get("prefill_tokens_per_s", _PREFILL_TOKENS_PER_S)),
        int(report.get("waiting_tokens", 0)),
        report.get("queued_by_priority", ()),
    )
