"""A process beside the engine of one rank."""

import trio

from gooseberryyoke.lease import is_candidate
from gooseberryyoke.membership.following import FollowParent
from gooseberryyoke_daemon.control.link import Links, Listener
from gooseberryyoke_daemon.control.presence import EntryPresence
from gooseberryyoke_daemon.groups import ArmedDriver, HoldWatch
from gooseberryyoke_daemon.groups.members import GroupMembers
from gooseberryyoke_daemon.groups.rank_orders import RankOrders
from gooseberryyoke_daemon.leases import LeaseKeeper
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.routed.node import Node
from gooseberryyoke_daemon.tables import ParentTables, TableWatcher

__all__ = ["Rank"]

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
_RELEASE_S = 0.3
"""For giving the lease up, at a planned stop."""


class Rank(Node):
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

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await self.serve_internal(nursery, [self._orders.handle])
            await nursery.start(self.registers.run)
            await nursery.start(self._links.run)
            await nursery.start(self.watcher.run)
            task_status.started()
            log_event("started", role="rank")
            nursery.start_soon(self._drive)

    async def _drive(self):
        while (group := self.members.group()) is None:
            await trio.sleep(_GROUP_LOOK_S)
        place = self.members.place()
        holder_prefix = f"{self.settings.name}/"
        self._lease = LeaseKeeper(
            self.registers,
            f"map/{group}",
            f"{holder_prefix}{self.rng.getrandbits(64):x}",
            trio.current_time,
            self.rng,
            _LEASE_S,
            holder_prefix,
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
            lambda: self.members.place().rank,
        )
        async with trio.open_nursery() as nursery:
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
            with trio.move_on_after(_RELEASE_S):
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
