"""The composition root of processes that serve by a route table."""

from functools import partial

from trio import (
    TASK_STATUS_IGNORED,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from gooseberryyoke.membership.server_book import ServerBook
from gooseberryyoke.retry import RetryBudget
from gooseberryyoke.routing.table_news import TableNews
from gooseberryyoke.seat import SeatMap
from gooseberryyoke_daemon.control.link import Listener
from gooseberryyoke_daemon.control.presence import EntryPresence
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import RegisterClient
from gooseberryyoke_daemon.seats import SeatPeers
from gooseberryyoke_daemon.tables import (
    ParentTables,
    TableRelay,
    TableStore,
    TableWatcher,
    ToldTables,
)
from gooseberryyoke_daemon.wire import (
    HttpClient,
    HttpServer,
    Limits,
    Response,
)

__all__ = ["Control", "Gateway", "Rank"]

_INTERNAL_BODY_BYTES = 32 * 1024 * 1024
"""A replica's page or table may be a few times the longest table of operators."""
_SERVER_CONNECT_S = 0.15
"""Twenty times what a connection within a region takes. A server that has crashed
never answers, and one whose queue of new connections is full drops the first packet,
which is sent again only after a second: another server has answered by then."""
_TABLE_CHECK_S = 10.0
"""At a rank, which needs of the table only how many experts its engines can hold."""
_TABLE_SEARCH_S = 2.0
"""At a rank without a table: there are several to each entry, and entries go first."""
_LEASE_S = 2.5
"""Of a group. After a driver's death its group keeps its map for so long; renewals
cost two writes to each replica in a third of it."""
_GROUP_LOOK_S = 0.2
_STAND_IN_LOOK_S = 5.0
"""Of the first ranks that are no candidates for their group's lease: with all
candidates gone, one of them drives within two looks, and the group keeps its map until
then."""
_STAND_IN_SHARE = 0.25
"""Of that time, by which each next rank looks less often. All together look hardly more
often in a large group than in a small one."""
_RANK_WAIT_S = 1.5
"""For which a rank's call for news is held."""
_METRICS_AFTER_S = 8.0
"""From the start, when the requests that waited for it have been served."""
_CONTROL_STOP_S = 0.3
"""For calls in flight at a control process that ends."""


class _Node:
    """Parts that every role has."""

    def __init__(self, settings, network, rng):
        self.settings = settings
        self.network = network
        self.rng = rng
        self.contacts = settings.contacts
        limits = Limits(body_bytes=_INTERNAL_BODY_BYTES, idle_s=30.0, pool_idle_s=10.0)
        self.client = HttpClient(network, limits)
        self.seats = SeatMap()
        self.peers = SeatPeers(self.seats, self.client)
        self.registers = RegisterClient(self.peers.by_seat(), rng)
        self.store = TableStore(self.registers)
        self._limits = limits

    def seats_changed(self):
        self.registers.set_peers(self.peers.by_seat())

    def use_contacts(self, contacts):
        """
        Take the contacts of changed settings.

        Parameters
        ----------
        contacts : tuple of str
        """
        if tuple(contacts) != self.contacts:
            log_event("contacts-changed", contacts=list(contacts))
        self.contacts = tuple(contacts)

    async def serve_internal(self, nursery, handlers):
        server = HttpServer(partial(_dispatch, handlers), self._limits)
        listeners = await self.network.listen(self.settings.internal)
        await nursery.start(server.run, listeners)
        return server


async def _dispatch(handlers, request):
    for handle in handlers:
        response = await handle(request)
        if response is not None:
            return response
    return Response(404)


class Gateway(_Node):
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
    """

    def __init__(self, settings, decode, names, network, rng, retry_digits=0):
        # Here and not above: each role imports what it needs, since a start is paid
        # from the time for recovery.
        from gooseberryyoke.membership.following import FollowMajority
        from gooseberryyoke_daemon.control.feed import Feed
        from gooseberryyoke_daemon.control.link import Links
        from gooseberryyoke_daemon.control.presence import Roster
        from gooseberryyoke_daemon.gateway import GatewayNode
        from gooseberryyoke_daemon.gateway.servers import Servers
        from gooseberryyoke_daemon.gateway.sharing import LoadSharing

        super().__init__(settings.node, network, rng)
        self._callers = settings.callers
        name = settings.node.name
        self.servers = Servers(settings.node.data_centre, rng, name)
        self.news = TableNews()
        told = ToldTables(self.news, self.store)
        self.watcher = TableWatcher(told, decode, self._use_table, rng=rng)
        server_client = HttpClient(
            network,
            Limits(pool_connections=0),
            keeps_host=True,
            connect_timeout_s=_SERVER_CONNECT_S,
        )
        budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        self.node = GatewayNode(
            self.watcher, self.servers, server_client, names, rng, budget, retry_digits
        )
        self.book = ServerBook()
        self._links = Links(
            self.client,
            lambda: self.contacts,
            self.seats,
            _GatewayListener(self),
            rng,
            FollowMajority(name),
        )
        self.roster = Roster(self.presence)
        self.feed = Feed(self.book, self.news, self._view, rng)
        self._relay = TableRelay(self.store)
        self._sharing = LoadSharing(
            self.presence,
            lambda: self.roster.there(current_time()),
            self.servers,
            network.datagrams(settings.node.internal),
        )

    async def _load_metrics(self):
        await sleep(_METRICS_AFTER_S)
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
        return self.roster.addresses(data_centre, current_time())

    def _use_table(self, table):
        self.node.use_limits(table)

    def _view(self):
        there = self.roster.there(current_time()).values()
        return {
            "entries": sorted(entry.as_list() for entry in there),
            "heard": [],
            "seats": self.seats.to_json(),
            "controls": self._links.controls(),
        }

    def presence(self):
        """Give this gateway's `EntryPresence`."""
        return EntryPresence(
            self.settings.name,
            str(self._callers),
            str(self.settings.internal),
            self.settings.data_centre,
            self.node.is_open,
        )

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with open_nursery() as nursery:
            listeners = await self.network.listen(self._callers)
            await nursery.start(self.node.run, listeners)
            await self.serve_internal(nursery, [self.feed.handle, self._relay.handle])
            await nursery.start(self.registers.run)
            await nursery.start(self.feed.run)
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
        async with open_nursery() as nursery:
            nursery.start_soon(self.node.stop, times)
            await sleep(0)
            self._links.report_now()
            self.feed.leave()


class _GatewayListener(Listener):
    """Hands over what control processes tell to the parts of a gateway."""

    def __init__(self, gateway):
        self._gateway = gateway

    def servers(self, entries):
        self._gateway.servers.take(entries)
        now = current_time()
        changes = [self._gateway.book.take(entry, now) for entry in entries]
        if any(changes):
            self._gateway.feed.wake()

    def seats(self):
        self._gateway.seats_changed()

    def entries(self, address, entries, heard):
        self._gateway.roster.hear(address, entries, current_time())

    def table(self, packed, told_s):
        if self._gateway.news.take_json(packed, told_s):
            self._gateway.watcher.look_now()

    def presence(self):
        return self._gateway.presence().as_dict()


class Control(_Node):
    """
    A process that servers, operators and gateways report to.

    Parameters
    ----------
    settings : ControlSettings
    network : TcpNetwork or MemoryHost
    rng : random.Random
    open_disk : callable
        Takes a path and gives a FolderDisk or MemoryDisk.

    Attributes
    ----------
    node : ControlNode
    """

    def __init__(self, settings, network, rng, open_disk):
        from gooseberryyoke_daemon.control.link import Links
        from gooseberryyoke_daemon.control.load import ControlLoad
        from gooseberryyoke_daemon.control.node import ControlNode
        from gooseberryyoke_daemon.seats.keeper import SeatFolders, SeatKeeper
        from gooseberryyoke_daemon.seats.stored import SeatFile

        super().__init__(settings.node, network, rng)
        self.keeper = SeatKeeper(
            str(settings.node.internal),
            lambda: self.contacts,
            self.seats,
            self.peers,
            self.client,
            SeatFolders(
                open_disk(f"{settings.data_folder}/registers"),
                SeatFile(open_disk(f"{settings.data_folder}/seat")),
                open_disk(f"{settings.data_folder}/founding"),
            ),
            rng,
            settings.node.founding,
            settings.node.seats,
            self.seats_changed,
        )
        self.node = ControlNode(self.keeper, self.store, rng)
        self.load = ControlLoad()
        # Servers report to one control process, and entries to some. Who follows one
        # of the others must hear of all, and one that has just started does so at once.
        self._links = Links(
            self.client,
            self.keeper.live_controls,
            self.seats,
            _ControlListener(self),
            rng,
            own_address=self.keeper.address,
        )

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with open_nursery() as nursery:
            await nursery.start(self.registers.run)
            handlers = [self.load.count, self._serve_replica, self.node.handle]
            self.load.watch("internal", await self.serve_internal(nursery, handlers))
            await nursery.start(self.load.run)
            await nursery.start(self.keeper.run)
            await nursery.start(self.node.run)
            await nursery.start(self._links.run)
            task_status.started()
            log_event("started", role="control")

    async def _serve_replica(self, request):
        for served in (self.keeper.replica, self.keeper.founding):
            response = None if served is None else await served.handle(request)
            if response is not None:
                return response
        return None

    async def stop(self):
        """End calls in flight; the caller then cancels `run`."""
        self.node.leave()
        await sleep(_CONTROL_STOP_S)


class _ControlListener(Listener):
    """Hands over what other control processes tell."""

    def __init__(self, control):
        self._control = control

    def servers(self, entries):
        self._control.node.pass_on(entries)

    def seats(self):
        self._control.seats_changed()

    def entries(self, address, entries, heard):
        self._control.node.hear_entries(address, entries, heard)

    def table(self, packed, told_s):
        self._control.node.hear_table(packed, told_s)


class Rank(_Node):
    """
    A process beside the engine of one rank; one of each group drives its maps.

    Parameters
    ----------
    settings : RankSettings
    decode : callable
        As of `Gateway`.
    engine_at : callable
        Gives the engine at an address, as `RankOrders` needs it.
    network : TcpNetwork or MemoryHost
    rng : random.Random
    """

    def __init__(self, settings, decode, engine_at, network, rng):
        from gooseberryyoke.membership.following import FollowParent
        from gooseberryyoke_daemon.control.link import Links
        from gooseberryyoke_daemon.groups.members import GroupMembers
        from gooseberryyoke_daemon.groups.rank_orders import RankOrders

        super().__init__(settings.node, network, rng)
        self._engine_at = engine_at
        engine = self._engine = engine_at(settings.engine)
        self._orders = RankOrders(engine)
        port = settings.node.internal.port
        self.members = GroupMembers(str(settings.engine), port)
        self.plan = FollowParent(settings.node.name, settings.node.data_centre)
        self._links = Links(
            self.client,
            lambda: self.contacts,
            self.seats,
            _RankListener(self),
            rng,
            self.plan,
            wait_s=_RANK_WAIT_S,
        )
        self.watcher = TableWatcher(
            ParentTables(self.client, lambda: self.parent),
            decode,
            check_s=_TABLE_CHECK_S,
            search_s=_TABLE_SEARCH_S,
            rng=rng,
        )
        self._lease = None
        self._driver = None

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with open_nursery() as nursery:
            await self.serve_internal(nursery, [self._orders.handle])
            await nursery.start(self.registers.run)
            await nursery.start(self._links.run)
            await nursery.start(self.watcher.run)
            task_status.started()
            log_event("started", role="rank")
            nursery.start_soon(self._drive)

    async def _drive(self):
        from gooseberryyoke.lease import is_candidate
        from gooseberryyoke_daemon.groups import ArmedDriver, HoldWatch
        from gooseberryyoke_daemon.leases import LeaseKeeper

        while (group := self.members.group()) is None:
            await sleep(_GROUP_LOOK_S)
        place = self.members.place()
        lineage = f"{self.settings.name}/"
        self._lease = LeaseKeeper(
            self.registers,
            f"map/{group}",
            f"{lineage}{self.rng.getrandbits(64):x}",
            current_time,
            self.rng,
            _LEASE_S,
            lineage,
            look_s=_look_s(place, is_candidate(place.rank, place.size)),
        )
        driver = self._driver = ArmedDriver(
            group,
            self.members.members,
            self.client,
            self._lease,
            self._pace,
            self._engine_at,
            self.settings.internal.host,
        )
        watch = HoldWatch(
            group,
            self._engine,
            self.members.members,
            self.client,
            self._fence,
            self._engine_at,
        )
        async with open_nursery() as nursery:
            nursery.start_soon(self._lease.run)
            nursery.start_soon(driver.run)
            nursery.start_soon(watch.run)

    def hear_entries(self, entries):
        """
        Take over which gateways there are, to follow one of them.

        Parameters
        ----------
        entries : list of list
            The fields of `EntryPresence`.
        """
        self.plan.entries = [EntryPresence(*entry) for entry in entries]

    def _fence(self):
        return max(self._orders.fence, self._lease.seen_number)

    def _pace(self):
        table, service = self.watcher.table, self.members.service()
        if table is None or service not in table.services:
            return None
        return table.services[service].pace

    @property
    def parent(self):
        """Address of the process that tells this one of servers and tables, or None."""
        return self._links.parent

    def expert_count(self):
        """Count the experts of a layer; 0 while the table doesn't tell."""
        pace = self._pace()
        return 0 if pace is None else pace.experts

    async def stop(self):
        """End a change, give the lease up; the caller then cancels `run`."""
        if self._driver is not None:
            await self._driver.stop()
        if self._lease is not None:
            with move_on_after(_CONTROL_STOP_S):
                await self._lease.release()


class _RankListener(Listener):
    """Hands over what the followed process tells to the parts of a rank."""

    def __init__(self, rank):
        self._rank = rank

    def servers(self, entries):
        self._rank.members.take(entries)

    def seats(self):
        self._rank.seats_changed()

    def entries(self, address, entries, heard):
        self._rank.hear_entries(entries)


def _look_s(place, is_candidate):
    if is_candidate:
        return None
    return _STAND_IN_LOOK_S * (1 + _STAND_IN_SHARE * place.rank)
