"""What every role has."""

from functools import partial

from gooseberryyoke.seat import SeatMap
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.registers import RegisterClient
from gooseberryyoke_daemon.seats import SeatPeers
from gooseberryyoke_daemon.tables import TableStore
from gooseberryyoke_daemon.wire import HttpClient, HttpServer, Limits, Response

__all__ = ["Node"]

_INTERNAL_BODY_BYTES = 32 * 1024 * 1024
"""A replica's page or table may be a few times the longest table of operators."""


class Node:
    """
    Parts that every role has.

    Parameters
    ----------
    settings : NodeSettings
    network : TcpNetwork or MemoryHost
    rng : random.Random
    """

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
        """Use the present holders of the seats."""
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
        """
        Serve calls of the deployment's other processes.

        Parameters
        ----------
        nursery : trio.Nursery
        handlers : list of async callable
            Asked in turn; each gives a Response, or None if a call is another's.

        Returns
        -------
        HttpServer
        """
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
