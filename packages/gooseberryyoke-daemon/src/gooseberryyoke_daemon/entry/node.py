"""The entry's parts, wired, and its life from start to stop."""

from math import inf

from trio import TASK_STATUS_IGNORED, Event, move_on_after, open_nursery, sleep

from gooseberryyoke.admission import Admission
from gooseberryyoke.balance import Fleet
from gooseberryyoke.crash import RequestCrashes
from gooseberryyoke.membership import Directory, EntryAnnouncement, new_incarnation
from gooseberryyoke.retry import RetryBudget
from gooseberryyoke_daemon.announcer import Announcer
from gooseberryyoke_daemon.claims import ClaimResolver
from gooseberryyoke_daemon.entry.address_book import AddressBook
from gooseberryyoke_daemon.entry.admit import Admit
from gooseberryyoke_daemon.entry.answer_size import AnswerSizes
from gooseberryyoke_daemon.entry.authenticate import Authenticate
from gooseberryyoke_daemon.entry.caller import CallerRoutes
from gooseberryyoke_daemon.entry.choose import Choose
from gooseberryyoke_daemon.entry.claim import Claim
from gooseberryyoke_daemon.entry.claim_support import AgentQuestions
from gooseberryyoke_daemon.entry.classify import Classify
from gooseberryyoke_daemon.entry.crash_limit import CrashLimit
from gooseberryyoke_daemon.entry.dispatch import Dispatch
from gooseberryyoke_daemon.entry.in_flight import InFlight
from gooseberryyoke_daemon.entry.internal import EntryInternalRoutes
from gooseberryyoke_daemon.entry.link import AgentLink
from gooseberryyoke_daemon.entry.renew import Renew
from gooseberryyoke_daemon.entry.reserve import Reserve
from gooseberryyoke_daemon.entry.retry import Retry
from gooseberryyoke_daemon.entry.roster import Roster
from gooseberryyoke_daemon.entry.status import Status
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import ENTRY_PATH
from gooseberryyoke_daemon.pipeline import Pipeline
from gooseberryyoke_daemon.wire import HttpServer

__all__ = ["EntryNode"]

_MEMORY_S = 300.0
_DEFAULT_MAX_AGE_S = 5.0
_ADDRESS_MARGIN_S = 1.0
_RECOVER_S = 2.0


class EntryNode:
    """
    One entry.

    Parameters
    ----------
    settings : Settings
        With the role ``entry``.
    process : Process
        What all roles of the process share.
    bundles : BundleKeeper
        Gives the bundle in force.
    claims : ClaimKeeper
        Keeps the calls that may not be repeated.
    observer : Observer
        Takes the figures of each exchange.
    """

    def __init__(self, settings, process, bundles, claims, observer):
        self._settings = settings.entry
        self._listen = settings.listen.callers
        self._url = _public_url(settings)
        self._process = process
        self._bundles = bundles
        self._claims = claims
        self._observer = observer
        self._stopped = Event()
        self.incarnation = new_incarnation(process.clock.wall(), process.rng)
        self._servers = Directory(settings.entry.silence_s, _MEMORY_S)
        self._entries = Directory(settings.entry.silence_s, _MEMORY_S)
        self._fleet = Fleet(process.data_centre)
        self._admission = Admission()
        self._in_flight = InFlight()
        self._addresses = AddressBook(
            process.name,
            self._url,
            self._entries,
            bundles.current,
            process.clock,
            _DEFAULT_MAX_AGE_S,
        )
        self._status = Status(process, self._addresses, self._entries, self._servers)
        self._announcer = Announcer(
            process.signed_client,
            [peer for peer in settings.entries if peer != process.internal_address],
            ENTRY_PATH,
            self._settings.announce_interval_s,
            self._announcement,
        )
        self._crash_limit = CrashLimit(
            process.name,
            RequestCrashes(process.name),
            process.clock,
            self._announcer.notify,
        )
        self._server = None

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """
        Run until `leave` has ended or the task is cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told the routes for the internal port.
        """
        roster = Roster(
            self._servers,
            self._entries,
            self._fleet,
            self._admission,
            self._crash_limit,
            self._bundles.heard_of,
            self._process.clock,
        )
        async with open_nursery() as nursery:
            self._server = HttpServer(self._callers(nursery), self._process.limits)
            listeners = await self._process.networks.callers.listen(self._listen)
            nursery.start_soon(self._tend, roster)
            nursery.start_soon(self._announcer.run)
            nursery.start_soon(self._serve_callers, listeners)
            task_status.started(
                [
                    EntryInternalRoutes(
                        self._process.name,
                        roster,
                        self._in_flight,
                        self._bundle_version,
                    )
                ]
            )

    @property
    def callers_server(self):
        """The `HttpServer` of the callers' port; None before `run`."""
        return self._server

    async def leave(self):
        """
        Stop without cutting work.

        Callers keep the answer to "which address" for a while, so that requests
        are accepted until that time has passed; then the last answers are given.
        """
        log_event("entry-leaving", exchanges=self._server.exchanges)
        self._addresses.leaving = True
        self._announcer.notify()
        self._server.drain()
        await sleep(self._addresses.max_age_s + _ADDRESS_MARGIN_S)
        self._server.stop_accepting()
        with move_on_after(self._drain_s()):
            await self._stopped.wait()

    def _drain_s(self):
        bundle = self._bundles.current()
        return inf if bundle is None else bundle.stop.drain_s

    def status(self):
        """
        Tell operators what this entry knows.

        Returns
        -------
        dict
            As `OperatorRoutes` needs it.
        """
        return self._status.show(self._bundles.current())

    async def _tend(self, roster):
        while True:
            await sleep(self._settings.announce_interval_s)
            roster.expire()
            self._observer.system_seen(
                self._bundle_version(),
                self._bundles.lease_left_s(),
                roster.servers_by_service(),
            )

    async def _serve_callers(self, listeners):
        await self._server.run(listeners)
        self._stopped.set()

    def _callers(self, nursery):
        process = self._process
        numbers = f"{process.name}-{self.incarnation:x}"
        pipeline = Pipeline(self._filters(nursery))
        return CallerRoutes(
            numbers,
            pipeline,
            self._addresses,
            self._observer,
            nursery,
            process.clock,
        )

    def _filters(self, nursery):
        process, settings = self._process, self._settings
        clock, rng = process.clock, process.rng
        link = AgentLink(
            process.signed_client,
            clock,
            nursery,
            settings.stream_silence_s,
            _RECOVER_S,
        )
        sizes = AnswerSizes()
        return [
            Renew(self._bundles.check_now),
            Authenticate(self._bundles.current, self._addresses.others),
            Classify(clock, sizes),
            Claim(
                ClaimResolver(self._claims, AgentQuestions(link, clock).ask),
                nursery,
                clock,
            ),
            Admit(self._admission, self._fleet, clock, rng),
            Retry(RetryBudget(), clock),
            self._crash_limit,
            Choose(process.name, self._fleet, self._servers, clock, rng),
            Reserve(self._claims),
            Dispatch(link, self._fleet, self._in_flight, sizes, clock),
        ]

    def _announcement(self, sequence):
        return EntryAnnouncement(
            self._process.name,
            self.incarnation,
            sequence,
            self._process.data_centre,
            self._url,
            self._addresses.leaving,
            self._bundle_version(),
            self._admission.usage(),
            self._crash_limit.records(),
        )

    def _bundle_version(self):
        bundle = self._bundles.current()
        return 0 if bundle is None else bundle.version


def _public_url(settings):
    if settings.entry.public_url is not None:
        return settings.entry.public_url
    scheme = "http" if settings.tls is None else "https"
    return f"{scheme}://{settings.listen.callers}"
