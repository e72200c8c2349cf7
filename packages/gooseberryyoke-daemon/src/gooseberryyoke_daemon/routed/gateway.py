"""A process that callers connect to."""

import trio

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke.contention import ContentionPolicy
from gooseberryyoke.membership.following import FollowMajority
from gooseberryyoke.membership.server_registry import ServerRegistry
from gooseberryyoke.retry import RetryShare, ServiceRetryBudgets
from gooseberryyoke.routing.table_view import TableView
from gooseberryyoke_daemon.control.feed import Feed
from gooseberryyoke_daemon.control.gateway_list import ToldGateways
from gooseberryyoke_daemon.control.link import Links, Listener
from gooseberryyoke_daemon.control.presence import EntryPresence, Roster
from gooseberryyoke_daemon.evacuations import ToldEvacuations
from gooseberryyoke_daemon.gateway import GatewayNode
from gooseberryyoke_daemon.gateway.awake import AwakeCheck
from gooseberryyoke_daemon.gateway.servers import Servers
from gooseberryyoke_daemon.gateway.sharing import LoadSharing
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.routed.node import Node
from gooseberryyoke_daemon.tables import TableRelay, TableWatcher, ToldTables
from gooseberryyoke_daemon.wire import HttpClient, Limits

__all__ = ["Gateway"]

_SERVER_CONNECT_S = 0.15
"""Twenty times what a connection within a region takes. A server that has crashed
never answers, and one whose queue of new connections is full drops the first packet,
which is sent again only after a second: another server has answered by then."""
_METRICS_AFTER_S = 8.0
"""From the start, when the requests that waited for it have been served."""


class Gateway(Node):
    """
    A process that callers connect to.

    Parameters
    ----------
    settings : GatewaySettings
    decode : callable
        Takes a table's text and gives a Result of RouteTable, list of str.
    names : HeaderNames
    network : TcpNetwork or MemoryHost
    rng : random.Random
    retry_digits : int
        See `problem_response`.

    Attributes
    ----------
    node : GatewayNode
    retry_share : RetryShare
    """

    def __init__(self, settings, decode, names, network, rng, retry_digits=0):
        super().__init__(settings.node, network, rng)
        self._callers = settings.callers
        name = settings.node.name
        contention = ContentionPolicy(settings.contended_from)
        self.servers = Servers(
            settings.node.data_centre,
            rng,
            name,
            contention,
            settings.cold_overage,
            settings.cold_slack,
        )
        self.news = TableView()
        self.evacuations = ToldEvacuations(self._use_evacuation)
        told = ToldTables(self.news, self.store, self.evacuations.may_begin)
        self.gateways = ToldGateways(self.servers.cold)
        self.watcher = TableWatcher(told, decode, self._use_table, rng=rng)
        server_client = HttpClient(
            network,
            Limits(pool_connections=0),
            keeps_host=True,
            connect_timeout_s=_SERVER_CONNECT_S,
        )
        self.retry_share = RetryShare(settings.retry_limit)
        self._budgets = ServiceRetryBudgets(settings.retry_limit, self.retry_share)
        datagrams = network.datagrams(settings.node.internal)
        self.awake = AwakeCheck(lambda: self._links.report_now(), datagrams.has_unread)
        self.node = GatewayNode(
            self.watcher,
            self.servers,
            server_client,
            names,
            rng,
            self._budgets,
            retry_digits,
            self.awake,
            HeldBytes(settings.held_bytes, settings.held_bytes_per_connection),
        )
        self.book = ServerRegistry()
        self._links = Links(
            self.client,
            lambda: self.contacts,
            self.seats,
            _GatewayListener(self),
            rng,
            FollowMajority(name),
        )
        self._own = self._known = None
        self.roster = Roster(self.presence)
        self.feed = Feed(self.book, self.news, self.evacuations.news, self._view, rng)
        self._relay = TableRelay(self.store)
        self._sharing = LoadSharing(
            self.presence,
            self._there,
            self.servers.peers,
            datagrams,
            self._use_names,
            self.servers.shared.news,
            self.node.quarantine.news,
        )

    async def _load_metrics(self):
        await trio.sleep(_METRICS_AFTER_S)
        self.node.observer.load()

    def addresses(self, data_centre):
        """
        List where callers may connect; see `Roster`.

        Parameters
        ----------
        data_centre : str

        Returns
        -------
        list of str
        """
        return self.roster.addresses(data_centre, trio.current_time())

    def _use_table(self, table):
        self.node.use_limits(table)
        self.servers.use_table(table)
        self._budgets.use_services(table.services, trio.current_time())

    def _use_names(self, names):
        self.servers.cold.use_names(names)
        self.retry_share.update_gateways(names, trio.current_time())

    def _use_evacuation(self, state):
        self.servers.evacuate(state)
        if self.watcher.table is None:
            self.watcher.look_now()

    def _view(self):
        there = self._there().values()
        return {
            "entries": sorted(entry.as_list() for entry in there),
            "heard": [],
            "seats": self.seats.to_json(),
            "controls": self._links.controls(),
        }

    def presence(self):
        """Give this gateway's `EntryPresence`."""
        is_open = self.node.is_open
        if self._own is None or self._own.is_open != is_open:
            self._own = EntryPresence(
                self.settings.name,
                str(self._callers),
                str(self.settings.internal),
                self.settings.data_centre,
                is_open,
            )
        return self._own

    def hear_entries(self, teller, entries):
        """
        Take over the entries that another process tells of; see `Roster.hear`.

        Parameters
        ----------
        teller : str
        entries : list of list
        """
        now = trio.current_time()
        self.roster.hear(teller, entries, now)
        self._known = None
        if any(name == self.settings.name for name, *_ in entries):
            self.retry_share.record_listed(now)

    def _there(self):
        # Kept, as each round and most datagrams ask for it while requests wait: it
        # changes only with what is told and with this gateway's own presence.
        own = self.presence()
        if self._known is None or self._known[own.name] is not own:
            self._known = self.roster.there(trio.current_time())
        return self._known

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await self.network.listen(self._callers)
            self.servers.cold.start()
            await nursery.start(self.node.run, listeners)
            await self.serve_internal(nursery, [self.feed.handle, self._relay.handle])
            await nursery.start(self.registers.run)
            await nursery.start(self.feed.run)
            nursery.start_soon(self.awake.run)
            await nursery.start(self._links.run)
            await nursery.start(self.watcher.run)
            await nursery.start(self._sharing.run)
            task_status.started()
            log_event("started", role="gateway")
            nursery.start_soon(self._load_metrics)

    async def stop(self, times):
        """
        End without cutting work; the caller then cancels `run`.

        Parameters
        ----------
        times : GatewayStop
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.node.stop, times)
            await trio.sleep(0)
            self._links.report_now()
            self.feed.leave()


class _GatewayListener(Listener):
    """Hands over what control processes tell to the parts of a gateway."""

    def __init__(self, gateway):
        self._gateway = gateway

    def servers(self, entries):
        self._gateway.servers.take(entries)
        now = trio.current_time()
        changes = [self._gateway.book.apply(entry, now) for entry in entries]
        if any(changes):
            self._gateway.feed.wake()

    def departures(self, departures):
        self._gateway.servers.depart(departures)
        now = trio.current_time()
        news = [d for d in departures if self._gateway.book.depart(d, now)]
        if news:
            self._gateway.feed.wake()

    def seats(self):
        self._gateway.seats_changed()

    def entries(self, address, entries, heard):
        self._gateway.hear_entries(address, entries)

    def table(self, packed, told_s):
        if self._gateway.news.update_from_json(packed, told_s):
            self._gateway.watcher.look_now()

    def evacuation(self, packed, told_s):
        self._gateway.evacuations.hear(packed, told_s)
        self._gateway.awake.heard(told_s)

    def gateways(self, packed, told_s):
        there = self._gateway.roster.there(trio.current_time())
        self._gateway.gateways.hear(packed, told_s, there.keys())

    def wants_gateways(self):
        return self._gateway.servers.cold.wants_list()

    def presence(self):
        return self._gateway.presence().as_dict()
