"""What a control process knows, and the calls by which others follow it."""

from importlib import import_module

import trio
from returns.result import Success

from gooseberryyoke.membership.departure import Departure
from gooseberryyoke.membership.life_order import LifeOrder, Rival
from gooseberryyoke.membership.server_registry import ServerRegistry, ServerState
from gooseberryyoke.routing.table_view import TableView
from gooseberryyoke_daemon.control.feed import Feed
from gooseberryyoke_daemon.control.gateway_list import GatewayListKeeper
from gooseberryyoke_daemon.control.observer import ControlObserver
from gooseberryyoke_daemon.control.presence import Roster
from gooseberryyoke_daemon.departures import DepartureKeeper, log_departure
from gooseberryyoke_daemon.evacuations import EvacuationProbe, ToldEvacuations
from gooseberryyoke_daemon.lazy_metrics import METRICS_MODULE
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import SEATS_PATH
from gooseberryyoke_daemon.tables import PutOutcome, TableProbe, index_of_text
from gooseberryyoke_daemon.wire import answer_json_call, json_response

__all__ = ["ControlNode"]

_FORGET_S = 86_400.0
"""A server not heard of for so long is dropped. Entries use a silent server as long
as it answers them, and one that reports to another control process is heard of here
only when it changes, so that this is only to bound the memory."""
_LOOK_S = 600.0


class ControlNode:
    """
    Servers, entries, evacuations and the newest table, as one control process has them.

    Parameters
    ----------
    keeper : SeatKeeper
    store : TableStore
    evacuation_store : EvacuationStore
    departure_store : DepartureStore
    rng : random.Random
    gateway_store : GatewayListStore, optional
        Without one no list of gateways is kept.

    Attributes
    ----------
    servers : ServerRegistry
    entries : Presences
    news : TableView
    evacuation_store : EvacuationStore
    evacuations : ToldEvacuations
    gateways : GatewayListKeeper
    observer : ControlObserver
    """

    def __init__(
        self,
        keeper,
        store,
        evacuation_store,
        departure_store,
        rng,
        gateway_store=None,
    ):
        self.observer = ControlObserver()
        self.servers = ServerRegistry()
        self._lives = LifeOrder()
        self.news = TableView()
        self.store = store
        self._keeper = keeper
        self.evacuations = ToldEvacuations(lambda state: self._feed.wake())
        self.gateways = GatewayListKeeper(
            gateway_store,
            self.news,
            lambda: self._entries_there().keys(),
            lambda: self._feed.wake(),
            rng,
        )
        self._feed = Feed(
            self.servers,
            self.news,
            self.evacuations.news,
            self._view,
            rng,
            self.gateways,
            self.observer.departure_told,
        )
        self.entries = self._feed.entries
        self._roster = Roster()
        self._probe = TableProbe(store, self.news, self._feed.wake, rng)
        self.evacuation_store = evacuation_store
        self._departure_store = departure_store
        self._departures = DepartureKeeper(
            departure_store, rng, self.observer.departure_settled
        )
        self._evacuation_probe = EvacuationProbe(
            evacuation_store, self.evacuations, rng
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Tell followers what changes, and forget old servers, until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._feed.run)
            nursery.start_soon(self._probe.run)
            nursery.start_soon(self._evacuation_probe.run)
            nursery.start_soon(self.gateways.run)
            nursery.start_soon(self._departures.run)
            task_status.started()
            while True:
                await trio.sleep(_LOOK_S)
                forgotten = self.servers.remove_expired(trio.current_time(), _FORGET_S)
                self._lives.forget(forgotten)
                for id in forgotten:
                    log_event("server-forgotten", server=id, silent_s=_FORGET_S)

    def leave(self):
        """Answer every held call at once: the process ends."""
        self._feed.leave()

    def resolve(self, entry):
        """
        Find the life that an announcement is of, before it is taken.

        Parameters
        ----------
        entry : ServerEntry
            As the server states it.

        Returns
        -------
        ServerEntry or None
            None if it is not to be acknowledged: another writer holds its id, or
            another life holds its id or its address and may have ended.
        """
        rivals = [
            Rival(known, self.servers.last_heard_s[known.id])
            for known in self.servers.rivals(entry)
        ]
        found = self._lives.resolve(entry, rivals, trio.current_time())
        if found is None:
            log_event(
                "announcement-unproved",
                level="warning",
                server=entry.id,
                born_ms=entry.born_ms,
                address=entry.address,
                rivals=[rival.entry.id for rival in rivals],
            )
            return None
        if self._is_contradicted(found):
            return None
        return found

    def _is_contradicted(self, entry):
        if not self.servers.contradicts(entry):
            return False
        log_event(
            "announcement-contradicts",
            level="warning",
            server=entry.id,
            service=entry.service,
            address=entry.address,
            born_ms=entry.born_ms,
        )
        return True

    def announce(self, entry):
        """
        Take a server's announcement, and tell followers of it.

        Parameters
        ----------
        entry : ServerEntry

        Returns
        -------
        Departure or None
            What has to be settled before the announcement is acknowledged.
        """
        if self._is_contradicted(entry):
            return None
        self._take_announced(entry)
        if entry.state is ServerState.READY:
            return None
        departure = Departure(entry.id, entry.born_ms, entry.sequence, entry.state)
        self.hear_departures([departure])
        return departure

    def _take_announced(self, entry):
        known = self.servers.entries.get(entry.id)
        if not self.servers.apply(entry, trio.current_time()):
            return
        is_news = known is None or known.state is not entry.state
        if is_news or known.place != entry.place:
            log_event(
                "server-announced",
                server=entry.id,
                address=entry.address,
                state=entry.state.value,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
            )
        self._feed.wake()

    def pass_on(self, entries):
        """
        Take over what another control process has heard.

        Parameters
        ----------
        entries : list of ServerEntry
        """
        changes = [self._take_told(entry) for entry in entries]
        if any(changes):
            self._feed.wake()

    def _take_told(self, entry):
        known = self.servers.entries.get(entry.id)
        is_change = self.servers.apply(entry, trio.current_time())
        if is_change and (known is None or known.state is not entry.state):
            log_event(
                "server-told",
                server=entry.id,
                state=entry.state.value,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
            )
        return is_change

    def hear_entries(self, control, entries, heard):
        """
        Take over which entries report to another control process.

        Parameters
        ----------
        control : str
            Its address.
        entries : list of list
            All that it knows of.
        heard : list of str
            Names of those that report to it. Passed on from the others' word, an entry
            that has gone would stay there for ever.
        """
        direct = [entry for entry in entries if entry[0] in heard]
        self._roster.hear(control, direct, trio.current_time())

    def hear_table(self, packed, told_s):
        """
        Take over what another control process knows of the newest table.

        Parameters
        ----------
        packed : list or None
            See `TableView.to_json`.
        told_s : float
            When it said so.
        """
        if self.news.update_from_json(packed, told_s):
            self._feed.wake()

    def end(self, id, born_ms):
        """
        Take a server's farewell, and tell followers of it.

        Parameters
        ----------
        id : str
        born_ms : int or None
            None if the farewell doesn't tell.

        Returns
        -------
        Departure or None
            What has to be settled before the farewell is acknowledged. None if neither
            the farewell nor this process knows which incarnation ends.
        """
        if self._lives.is_unsettled(id, born_ms):
            return None
        born_ms = self._lives.start_of(id, born_ms)
        known = self.servers.entries.get(id)
        if born_ms is None and known is None:
            return None
        if self.servers.end(id, born_ms, trio.current_time()):
            log_event("server-left", server=id, born_ms=born_ms)
            self._feed.wake()
        ended_ms = known.born_ms if born_ms is None else born_ms
        sequence = 0 if known is None else known.sequence
        departure = Departure(id, ended_ms, sequence, ServerState.GONE)
        self.hear_departures([departure])
        return departure

    async def settle(self, departure):
        """
        Wait until a departure outlasts the loss of this process.

        Parameters
        ----------
        departure : Departure

        Returns
        -------
        bool
            False if no majority of replicas has settled it in time.
        """
        return await self._departures.settle(departure)

    def hear_departures(self, departures):
        """
        Take over departures that a server, a process or the durable state tells.

        Parameters
        ----------
        departures : iterable of Departure
        """
        now = trio.current_time()
        for departure in departures:
            if not self.servers.depart(departure, now):
                continue
            self._feed.tell_departure(departure)
            log_departure(departure)

    def hear_stored(self, key, value):
        """
        Look for departures in what the replica of this process has stored.

        Parameters
        ----------
        key : str
        value : object
        """
        self.hear_departures(self._departure_store.listed(key, value))

    async def put_table(self, version, text):
        """
        Store a table, and tell followers of it; see `TableStore.put`.

        Parameters
        ----------
        version : int
        text : bytes

        Returns
        -------
        Result of PutOutcome, RegisterError
        """
        start_s = trio.current_time()
        stored = await self.store.put(version, text)
        is_stored = stored == Success(PutOutcome.STORED)
        if is_stored and self.news.update(index_of_text(version, text), start_s):
            self._feed.wake()
        return stored

    async def order_evacuation(self, order):
        """
        Settle an operator's order, and tell followers; see `EvacuationStore.carry_out`.

        Parameters
        ----------
        order : EvacuationOrder

        Returns
        -------
        Result of EvacuationState, (RegisterError or UnknownDataCentre)
        """
        start_s = trio.current_time()
        settled = await self.evacuation_store.carry_out(order)
        if isinstance(settled, Success):
            self.evacuations.take(settled.unwrap(), start_s)
        return settled

    async def handle(self, request):
        """
        Serve the calls of other processes.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != SEATS_PATH:
            return await self._feed.handle(request)
        return await answer_json_call(request, self._greet)

    async def _greet(self, payload):
        return json_response(200, self._keeper.hear(payload["address"], payload))

    def _heard(self):
        there = self.entries.there(trio.current_time())
        return {entry.name: entry for entry in there}

    def _entries_there(self):
        return {**self._roster.there(trio.current_time()), **self._heard()}

    def _view(self):
        entries = self._entries_there().values()
        return {
            "entries": sorted(entry.as_list() for entry in entries),
            "heard": sorted(self._heard()),
            **self._keeper.say(),
        }

    async def render_metrics(self):
        """
        Show the metrics of this process.

        Returns
        -------
        bytes
            Text exposition format.
        """
        if self.observer.metrics is None:
            # In a thread: calls of followers and replicas go on meanwhile.
            await trio.to_thread.run_sync(import_module, METRICS_MODULE)
            self.observer.load()
        return self.observer.metrics.render()

    def count_ready(self):
        """Count the servers that take work."""
        entries = self.servers.entries.values()
        return sum(entry.state is ServerState.READY for entry in entries)
