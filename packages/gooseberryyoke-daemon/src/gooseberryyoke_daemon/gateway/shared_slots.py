"""Which free slots of contended services this gateway may use among many."""

import trio

from gooseberryyoke.placement import SlotSharing, free_by_server
from gooseberryyoke.placement.places import available_servers
from gooseberryyoke_daemon.gateway.slot_news import SlotNews
from gooseberryyoke_daemon.logs import log_event

__all__ = ["SharedSlots"]


class SharedSlots:
    """
    Part of the free slots that this gateway may use, by service.

    Parameters
    ----------
    servers : Servers
    name : str
        Of this gateway.

    Attributes
    ----------
    observer : GatewayObserver or None
        Counts the slots that were assigned twice, and the starts that are announced.
    news : SlotNews
        What is announced of the shared slots.
    """

    __slots__ = ("news", "observer", "_servers", "_name", "_by_service", "_started_s")

    def __init__(self, servers, name):
        self.news = SlotNews()
        self.observer = None
        self._servers = servers
        self._name = name
        self._by_service = {}
        self._started_s = trio.current_time()

    def of(self, service):
        """
        Give this gateway's part of the free slots of a contended service.

        Parameters
        ----------
        service : str

        Returns
        -------
        SlotSharing or None
            None if the service is not managed for contention, or by few gateways.
        """
        servers = self._servers
        gateways = 1 + servers.peers.count
        is_shared = servers.contention.shares_free_slots(gateways)
        if not (is_shared and servers.is_contended(service)):
            return None
        sharing = self._by_service.get(service)
        if sharing is None:
            sharing = SlotSharing(self._name, started_s=self._started_s)
            self._by_service[service] = sharing
        return sharing

    def began(self, server):
        """Note that an own request was sent to a server."""
        sharing = self.of(server.entry.service)
        if sharing is not None:
            id, now = server.entry.id, trio.current_time()
            sharing.record_start(id, now)
            is_tight = sharing.is_contended(now)
            is_announced = self.news.began(id, server.load.own, is_tight)
            if is_announced and self.observer is not None:
                self.observer.start_announced(server.entry.service)

    def ended(self, server):
        """Note that an own request at a server is over."""
        sharing = self.of(server.entry.service)
        if sharing is not None:
            sharing.record_end(server.entry.id, trio.current_time())
            self.news.ended(server.entry.id)

    def found_full(self, server, is_refused, request):
        """
        Note that all slots of a server were taken when a request came.

        Parameters
        ----------
        server : Server
        is_refused : bool
        request : str
            Its id, for logs.
        """
        service = server.entry.service
        if not self._servers.is_contended(service):
            return
        log_event(
            "slot-assigned-twice",
            request=request,
            service=service,
            server=server.entry.id,
            refused=is_refused,
            expected=round(server.load.expected(trio.current_time()), 1),
        )
        if self.observer is not None:
            self.observer.slot_assigned_twice(service)

    def usable(self, service):
        """
        List the free slots of a contended service that this gateway may use now.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of str or None
            Ids of servers, one entry a slot, the best first. None if all free slots
            may be used: the service is not shared so, or one of its groups is being
            tried, which takes one request at a time.
        """
        sharing = self.of(service)
        servers = self._servers.of_service(service)
        if sharing is None or any(
            s.group_health and s.group_health.is_probed for s in servers
        ):
            return None
        now = trio.current_time()
        peers = self._servers.peers
        elsewhere = peers.waiting_by_gateway(service)
        own = peers.own_waiting().get(service) if elsewhere else None
        others = peers.names - {self._name}
        return sharing.usable_slots(
            free_by_server(servers, now), elsewhere, others, now, own
        )

    def at_once(self, service):
        """
        List the free slots for a request that comes while nobody waits here.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of str or None
            As of `usable`. None also if nobody waits elsewhere either and other
            gateways can't have taken all that seems to be free.
        """
        sharing = self.of(service)
        now = trio.current_time()
        if sharing is None:
            return None
        if not available_servers(self._servers.of_service(service), now):
            return None
        peers = self._servers.peers
        if not peers.waiting_by_gateway(service):
            free = self._servers.free_places(service)
            if not sharing.is_scarce(free, peers.count, now):
                return None
        return self.usable(service)
