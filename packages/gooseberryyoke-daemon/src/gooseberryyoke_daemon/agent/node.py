"""The agent's parts, wired, and its life from start to stop."""

from trio import TASK_STATUS_IGNORED, move_on_after, open_nursery, sleep

from gooseberryyoke.membership import ServerAnnouncement, new_incarnation
from gooseberryyoke_daemon.agent.reporter import Reporter
from gooseberryyoke_daemon.agent.routes import AgentRoutes
from gooseberryyoke_daemon.agent.runner import Runner
from gooseberryyoke_daemon.agent.table import AttemptTable
from gooseberryyoke_daemon.announcer import Announcer
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import SERVER_PATH

__all__ = ["AgentNode"]

_MAX_RUNNING = 512
_ANSWER_BYTES = 8 * 1024 * 1024
_HEAD_TIMEOUT_S = 120.0
_SWEEP_S = 1.0
_INTEREST_PATIENCE_S = 3.0
_ORPHAN_PATIENCE_S = 15.0


class AgentNode:
    """
    One agent.

    Parameters
    ----------
    settings : Settings
        With the role ``agent``.
    process : Process
        What all roles of the process share.
    """

    def __init__(self, settings, process):
        self._settings = settings.agent
        self._server = settings.agent.server
        self._process = process
        self._clock = process.clock
        self._stopping = False
        self.incarnation = new_incarnation(process.clock.wall(), process.rng)
        self._table = None
        self._reporter = Reporter(
            process.plain_client,
            self._server.address,
            self._server.load_path,
            self._settings.report_interval_s,
            self._clock,
        )
        self._announcer = Announcer(
            process.signed_client,
            settings.entries,
            SERVER_PATH,
            self._settings.announce_interval_s,
            self._announcement,
            self._heard_interest,
        )

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """
        Run until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told the routes for the internal port.
        """
        runner = Runner(
            self._process.plain_client,
            self._server.address,
            _HEAD_TIMEOUT_S,
            _ANSWER_BYTES,
            self._heard_server,
            HeaderNames(),
        )
        async with open_nursery() as nursery:
            self._table = AttemptTable(
                self.incarnation, runner, nursery, self._clock, _MAX_RUNNING
            )
            heartbeat_s = self._settings.heartbeat_interval_s
            task_status.started([AgentRoutes(self._table, heartbeat_s)])
            nursery.start_soon(self._reporter.run, self._server_changed)
            nursery.start_soon(self._announcer.run)
            nursery.start_soon(self._sweep)

    async def leave(self):
        """
        Stop without cutting work.

        New attempts are refused from now on. Returns once all that had been taken
        has been answered and read, or its reader is gone.
        """
        log_event("agent-leaving", running=len(self._table.running))
        self._stopping = True
        self._server_changed()
        await self._table.emptied()
        with move_on_after(self._settings.linger_s):
            await self._table.all_read()

    def _heard_server(self, report, attempt):
        """Take what an answer of the backend server says of itself."""
        told = {"server": self._server.name, "told_to": attempt.order.attempt}
        now, backoff = self._clock.now(), self._table.backoff
        if report.backoff_s:
            backoff.requested(report.backoff_s, now)
            asked_ms = round(1000 * report.backoff_s)
            left_ms = round(1000 * (backoff.until_s - now))
            log_event("server-backoff", asked_ms=asked_ms, left_ms=left_ms, **told)
        elif backoff.answered(attempt.started_s):
            log_event("server-backoff-ended", **told)
        if report.is_leaving:
            self._reporter.heard_leaving()
            self._server_changed()

    def _server_changed(self):
        self._table.leaving = self._stopping or self._reporter.leaving
        self._announcer.notify()

    def _announcement(self, sequence):
        server = self._server
        unusable = self._table.leaving or not self._reporter.reachable
        return ServerAnnouncement(
            server.name,
            self.incarnation,
            sequence,
            self._process.data_centre,
            server.service,
            list(server.models),
            str(self._process.internal_address),
            unusable,
            self._reporter.report,
            self._reporter.age_s,
            self._table.bundle_version,
        )

    def _heard_interest(self, payload):
        # An entry of another release may leave out what this one doesn't need to go
        # on; while entries and agents are restarted one by one both are about.
        self._table.hear_bundle(payload.get("bundle_version", 0))
        if "attempts" in payload:
            self._table.heard_interest(
                payload["entry"], payload["attempts"], _INTEREST_PATIENCE_S
            )

    async def _sweep(self):
        while True:
            await sleep(_SWEEP_S)
            self._table.cancel_orphans(_ORPHAN_PATIENCE_S)
            self._table.forget()
