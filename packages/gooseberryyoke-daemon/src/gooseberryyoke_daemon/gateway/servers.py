"""The backend servers as this gateway sees them."""

from collections import Counter
from math import inf

import trio

from gooseberryyoke.contention import ContentionPolicy
from gooseberryyoke.evacuation import EvacuationState
from gooseberryyoke.membership.server_registry import ServerRegistry
from gooseberryyoke.placement import (
    DEFAULT_FIRST_EVENT_S,
    GroupHealth,
    choose_server,
    count_restraints,
    free_places,
    free_to_begin,
    kept_places,
    median_latency,
    most_kept,
    reservable_slots,
)
from gooseberryyoke_daemon.departures import log_departure
from gooseberryyoke_daemon.gateway.cold_servers import ColdServers
from gooseberryyoke_daemon.gateway.group_limits import GroupLimits
from gooseberryyoke_daemon.gateway.peers import Peers
from gooseberryyoke_daemon.gateway.server import Server
from gooseberryyoke_daemon.gateway.shared_slots import SharedSlots
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Servers"]

_FORGET_S = 86_400.0
"""Without a change, of which alone gateways are told. Bounds the memory: a server that
crashed without a word is left out by its failures, not by its silence."""
_FULL_PART = 0.75
_LEAST_RATE = 0.02
"""Requests a second of a service whose servers' limits leave this gateway no part."""
_USUAL_ANSWER_S = 2.0
"""A draft of 28 events at a busy engine."""


class Servers:
    """
    Servers by id.

    Parameters
    ----------
    data_centre : str
    rng : random.Random
    name : str
        Of this gateway; kept.
    contention : ContentionPolicy, optional
        Without one, no service is managed for contention.
    cold_overage, cold_slack : float
        See `ColdRate`.

    Attributes
    ----------
    cold : ColdServers
        Those that have just started, or say that they are cold.
    evacuation : EvacuationState
        Servers of these data centres get no work.
    peers : Peers
        What other gateways tell of the servers, and what they are told.
    group_limits : GroupLimits
        How many requests may run in each group.
    shared : SharedSlots
        Which free slots this gateway may use among others.
    """

    __slots__ = (
        "cold",
        "contention",
        "group_limits",
        "evacuation",
        "name",
        "peers",
        "shared",
        "_book",
        "_by_id",
        "_by_service",
        "_data_centre",
        "_group_healths",
        "_rng",
    )

    def __init__(
        self,
        data_centre,
        rng,
        name="",
        contention=None,
        cold_overage=1.5,
        cold_slack=5.0,
    ):
        self.contention = contention or ContentionPolicy(inf)
        self.evacuation = EvacuationState()
        self.name = name
        self._book = ServerRegistry()
        self._by_id = {}
        self._by_service = {}
        self._group_healths = {}
        self.group_limits = GroupLimits(self._by_id, self.is_contended)
        self.peers = Peers(self._by_id, self.group_limits)
        self.cold = ColdServers(self._by_id, name, cold_overage, cold_slack)
        self.shared = SharedSlots(self, name)
        self._data_centre = data_centre
        self._rng = rng

    def use_table(self, table):
        """
        Take the services and routes of a new table.

        Parameters
        ----------
        table : RouteTable
        """
        self.contention.use_table(table)
        self.group_limits.use_table(table)
        self.cold.use_table(table)

    def evacuate(self, state):
        """
        Send nothing more to servers of some data centres.

        Parameters
        ----------
        state : EvacuationState
        """
        self.evacuation = state

    def running_evacuated(self):
        """
        Count this gateway's requests that still run in evacuated data centres.

        Returns
        -------
        dict of str to int
            By data centre.
        """
        counts = dict.fromkeys(self.evacuation.data_centres, 0)
        for server in self._by_id.values():
            if server.entry.data_centre in counts:
                counts[server.entry.data_centre] += server.load.own
        return counts

    def is_evacuated(self, service):
        """
        Tell whether all servers of a service are in evacuated data centres.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
            False if it has no servers at all.
        """
        return not self._ready_for(service) and any(
            server.entry.service == service for server in self._ready()
        )

    def take(self, entries):
        """
        Take over changed announcements.

        Parameters
        ----------
        entries : list of ServerEntry
        """
        now = trio.current_time()
        for entry in entries:
            known = self._book.entries.get(entry.id)
            if not self._book.apply(entry, now):
                continue
            if entry.place is not None and not entry.place.is_open:
                self._note_closed(entry, "announced")
            if known is None or known.state is not entry.state:
                log_event(
                    "server-known",
                    server=entry.id,
                    address=entry.address,
                    state=entry.state.value,
                    born_ms=entry.born_ms,
                    sequence=entry.sequence,
                )
        self._refresh(now)

    def depart(self, departures):
        """
        Send nothing more to incarnations that have said that they leave.

        Parameters
        ----------
        departures : list of Departure
            Also of servers that are not known.
        """
        now = trio.current_time()
        news = [d for d in departures if self._book.depart(d, now)]
        for departure in news:
            log_departure(departure)
        if news:
            self._refresh(now)

    def _refresh(self, now):
        self._book.remove_expired(now, _FORGET_S)
        for id, entry in self._book.entries.items():
            server = self._by_id.get(id)
            if server is None or server.entry.born_ms != entry.born_ms:
                self._by_id[id] = self._begin_life(entry, server)
            elif server.entry is not entry:
                server.announced(entry)
            self.cold.hear(self._by_id[id], self._book.cold[id])
        for id in set(self._by_id) - set(self._book.entries):
            del self._by_id[id]
        self._by_service.clear()
        self.group_limits.servers_changed()
        self.cold.look()

    def _begin_life(self, entry, before):
        self.peers.note_new_server()
        server = Server(
            entry, self.cold.new_limit(entry), self._group_health(entry), self.shared
        )
        if before is not None:
            # Its next life answers under the same id and address before it is
            # announced: whose word a pause is can't be told.
            server.backoff = before.backoff
        return server

    def _group_health(self, entry):
        if entry.place is None:
            return None
        return self._group_healths.setdefault(entry.place.group, GroupHealth())

    def _note_closed(self, entry, why):
        group_health = self._group_health(entry)
        if not group_health.is_probed:
            log_event(
                "group-closed",
                level="warning",
                group=entry.place.group,
                server=entry.id,
                why=why,
                epoch=entry.place.epoch,
                limit_part=round(group_health.limit_part, 2),
            )
        group_health.refused(trio.current_time())

    def limit_parts(self):
        """
        Tell which part of its places each group may use.

        Returns
        -------
        dict of str to float
            By group.
        """
        return {
            group: group_health.limit_part
            for group, group_health in self._group_healths.items()
        }

    def limit_parts_of(self, service):
        """
        Tell which part of its places each group of a service may use.

        Parameters
        ----------
        service : str or None

        Returns
        -------
        dict of str to float
            By group.
        """
        groups = {
            server.entry.place.group
            for server in self._by_id.values()
            if server.entry.service == service and server.entry.place is not None
        }
        parts = self.limit_parts()
        return {group: round(parts[group], 2) for group in sorted(groups)}

    def is_contended(self, service):
        """
        Tell whether a service is managed for contention.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
        """
        return self.contention.applies_to(service, 1 + self.peers.count)

    def of_service(self, service):
        """
        List the servers that may get work.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of Server
            None that has asked for a pause; those of broken groups only if there are
            no others.
        """
        now = trio.current_time()
        willing = [s for s in self._ready_for(service) if s.backoff.until_s <= now]
        return [server for server in willing if server.is_open] or willing

    def is_known(self, service):
        """Tell whether any server of a service takes work, in a pause or not."""
        return bool(self._ready_for(service))

    def closed_for_s(self, service):
        """
        Tell for how long no server of a service wants anything.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
            In seconds; 0 if one takes work, or none is known.
        """
        now = trio.current_time()
        closed_for_s = []
        for server in self._ready_for(service):
            end_s = max(server.backoff.until_s, server.limit.opens_s(now))
            if end_s <= now:
                return 0.0
            closed_for_s.append(end_s - now)
        return min(closed_for_s, default=0.0)

    def has_just_started(self, service):
        """
        Tell whether all servers are cold and this gateway does not know its part yet.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
        """
        now = trio.current_time()
        servers = self._ready_for(service)
        return bool(servers) and all(s.limit.opens_s(now) > now for s in servers)

    def choose(self, service, tried, is_last=False, assigned=None):
        """
        Choose a server.

        Parameters
        ----------
        service : str
        tried : set of str
            Ids to leave out.
        is_last : bool
            No other attempt may follow: servers that have not shown yet that their
            pause is over come last.
        assigned : str, optional
            Id of the server whose free slot the request was given.

        Returns
        -------
        Server or None
            Of a group that doesn't go on only if there is no other.
        """
        now = trio.current_time()
        candidates = [s for s in self.of_service(service) if s.entry.id not in tried]
        if is_last:
            proven = [s for s in candidates if not s.backoff.awaits_probe]
            candidates = proven or candidates
        sharing = self.shared.of(service)
        given = [s for s in candidates if s.entry.id == assigned]
        if sharing is not None and given:
            candidates = given
        return choose_server(candidates, self._data_centre, now, self._rng, sharing)

    def note_refusal(self, server):
        """
        Note that a server turned a request away.

        Parameters
        ----------
        server : Server

        Notes
        -----
        One that has room by all that is known is broken: without work it looks best,
        and is left out for longer each time. Its group is broken with it unless the
        group's streams move; a request that is sent to two of its members in a row
        has no attempt left. A server that asks for a pause is left out for as long.
        """
        now = trio.current_time()
        if server.backoff.is_on(now):
            return
        if server.load.expected(now) > server.entry.slots * _FULL_PART:
            server.health.was_full(now)
            return
        server.health.refused(now)
        if server.group_health is not None and not server.group_health.is_active(now):
            self._note_closed(server.entry, "refused")

    def free_places(self, service):
        """See `gooseberryyoke.placement.free_places`."""
        return free_places(self.of_service(service), trio.current_time())

    def kept_places(self, service):
        """See `gooseberryyoke.placement.kept_places`."""
        return kept_places(self.of_service(service), trio.current_time())

    def restraints(self, service):
        """See `gooseberryyoke.placement.count_restraints`."""
        return count_restraints(self.of_service(service), trio.current_time())

    def most_kept(self, service, wanted):
        """See `gooseberryyoke.placement.most_kept`."""
        return most_kept(wanted, self.of_service(service), trio.current_time())

    def reservable_slots(self, service):
        """See `gooseberryyoke.placement.reservable_slots`."""
        return reservable_slots(self.of_service(service), trio.current_time())

    def free_to_begin(self, service):
        """
        Count the places that a request which has just come could take.

        Parameters
        ----------
        service : str

        Returns
        -------
        int or None
            As of `gooseberryyoke.placement.free_to_begin`; 0 if all servers are in a
            pause.
        """
        servers = self.of_service(service)
        if not servers and self.is_known(service):
            return 0
        return free_to_begin(servers, trio.current_time())

    def first_s(self, service):
        """
        Tell how soon after getting a place an answer begins.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
            In seconds.
        """
        pace = median_latency(self.of_service(service), trio.current_time())
        return DEFAULT_FIRST_EVENT_S if pace is None else pace

    def least_rate(self, service):
        """
        Tell for how many requests a second this gateway's part of the places is.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
            While all servers are in a pause, what it will be after that.
        """
        now = trio.current_time()
        servers = self.of_service(service) or self._ready_for(service)
        rate = sum(
            min(self._usual_rate(server), server.limit.share(now)) for server in servers
        )
        return max(rate, _LEAST_RATE)

    def _usual_rate(self, server):
        return server.entry.slots / (1 + self.peers.count) / _USUAL_ANSWER_S

    def count_by_service(self):
        """
        Count the servers that take requests.

        Returns
        -------
        dict of str to int
        """
        return dict(Counter(server.entry.service for server in self._ready()))

    def count_in_backoff(self):
        """
        Count the servers that take requests, but none in a pause that they asked for.

        Returns
        -------
        dict of str to int
            By service; 0 for those without any.
        """
        now = trio.current_time()
        counts = dict.fromkeys(self.count_by_service(), 0)
        for server in self._ready():
            counts[server.entry.service] += server.backoff.is_on(now)
        return counts

    def has_any(self):
        """Tell whether any server takes work."""
        return any(self._ready())

    def _ready_for(self, service):
        ready = [s for s in self._known_for(service) if not s.is_leaving]
        if not self.evacuation.since_ms:
            return ready
        covers = self.evacuation.covers
        return [server for server in ready if not covers(server.entry.data_centre)]

    def _known_for(self, service):
        # Kept, as each decision asks for it and announcements are few.
        known = self._by_service.get(service)
        if known is None:
            servers = self._by_id.values()
            known = [server for server in servers if server.entry.service == service]
            self._by_service[service] = known
        return known

    def _ready(self):
        return (server for server in self._by_id.values() if not server.is_leaving)
