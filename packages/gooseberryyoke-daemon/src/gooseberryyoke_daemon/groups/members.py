"""The processes beside the ranks of one group."""

from gooseberryyoke.membership.server_registry import ServerRegistry, ServerState
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire import Address

__all__ = ["GroupMembers", "Member"]


class Member(Record):
    """
    One rank of a group.

    Parameters
    ----------
    address : Address
        Of the process beside its engine.
    engine : Address
    """

    __slots__ = ("address", "engine")

    def __init__(self, address, engine):
        self.address = address
        self.engine = engine


class GroupMembers:
    """
    Finds a group's ranks among the servers that control processes know.

    Parameters
    ----------
    engine : str
        Address of the engine beside this process.
    port : int
        At which the process beside each engine listens, on the engine's host.
    """

    def __init__(self, engine, port):
        self._engine = engine
        self._port = port
        self._book = ServerRegistry()

    def take(self, entries):
        """
        Take over changed announcements.

        Parameters
        ----------
        entries : list of ServerEntry
        """
        for entry in entries:
            self._book.apply(entry, 0.0)

    def _own(self):
        there = [
            entry
            for entry in self._book.entries.values()
            if entry.address == self._engine and entry.state is not ServerState.GONE
        ]
        return max(there, key=lambda entry: entry.order_key, default=None)

    def group(self):
        """Name the group of the engine beside this process; None if it has none."""
        own = self._own()
        return None if own is None or own.place is None else own.place.group

    def place(self):
        """Give the `RankPlace` of the engine beside this process, or None."""
        own = self._own()
        return None if own is None else own.place

    def service(self):
        """Name the service of the engine beside this process, or None."""
        own = self._own()
        return None if own is None else own.service

    def members(self):
        """
        List the group's ranks.

        Returns
        -------
        list of Member or None
            By rank; None while not all are known.
        """
        own = self._own()
        if own is None or own.place is None:
            return None
        by_rank = {}
        for entry in sorted(self._book.entries.values(), key=lambda e: e.born_ms):
            place = entry.place
            is_there = entry.state is not ServerState.GONE
            if is_there and place is not None and place.group == own.place.group:
                by_rank[place.rank] = entry
        if set(by_rank) != set(range(own.place.size)):
            return None
        engines = [
            Address.parse(by_rank[rank].address) for rank in range(own.place.size)
        ]
        return [Member(Address(engine.host, self._port), engine) for engine in engines]
