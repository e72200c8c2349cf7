"""The backend servers as this gateway sees them."""

import trio

from gooseberryyoke.membership.server_book import ServerBook, ServerState
from gooseberryyoke.placement import ServerHealth, ServerLoad, choose_server
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import Address

__all__ = ["Server", "Servers"]

_FORGET_S = 150.0


class Server:
    """One server with its load and health."""

    __slots__ = ("entry", "address", "load", "health")

    def __init__(self, entry):
        self.entry = entry
        self.address = Address.parse(entry.address)
        self.load = ServerLoad()
        self.health = ServerHealth()


class Servers:
    """
    Servers by id.

    Parameters
    ----------
    data_centre : str
    rng : random.Random
    """

    __slots__ = ("_book", "_by_id", "_data_centre", "_rng")

    def __init__(self, data_centre, rng):
        self._book = ServerBook()
        self._by_id = {}
        self._data_centre = data_centre
        self._rng = rng

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
            if not self._book.take(entry, now):
                continue
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

    def _refresh(self, now):
        self._book.forget_old(now, _FORGET_S)
        for id, entry in self._book.entries.items():
            server = self._by_id.get(id)
            is_same = server is not None and server.entry.born_ms == entry.born_ms
            if is_same and server.entry.address == entry.address:
                server.entry = entry
            else:
                self._by_id[id] = Server(entry)
        for id in set(self._by_id) - set(self._book.entries):
            del self._by_id[id]

    def of_service(self, service):
        """
        List the servers that may get work.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of Server
        """
        return [
            server
            for server in self._by_id.values()
            if server.entry.service == service
            and server.entry.state is ServerState.READY
        ]

    def choose(self, service, tried):
        """
        Choose a server.

        Parameters
        ----------
        service : str
        tried : set of str
            Ids to leave out.

        Returns
        -------
        Server or None
        """
        candidates = [s for s in self.of_service(service) if s.entry.id not in tried]
        now = trio.current_time()
        return choose_server(candidates, self._data_centre, now, self._rng)

    def has_any(self):
        """Tell whether any server takes work."""
        return any(s.entry.state is ServerState.READY for s in self._by_id.values())
