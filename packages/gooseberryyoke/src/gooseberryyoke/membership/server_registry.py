"""Registry of the backend servers that announce themselves."""

from gooseberryyoke.membership.cold_report import LocalColdReport
from gooseberryyoke.membership.departure import DepartureBook
from gooseberryyoke.membership.server_state import ServerState
from gooseberryyoke.record import Record

__all__ = ["RankPlace", "ServerRegistry", "ServerEntry", "ServerState"]

_TOMBSTONE_S = 120.0
"""How long the end of a server is remembered, in seconds. It is longer than the time
for which any announcement can be in transit."""


class RankPlace(Record):
    """
    A server's rank in an expert-parallel group.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch, rank, size : int
        Epoch of the group, rank of the server in it and number of its ranks.
    is_open : bool
        Whether the group executes steps.
    """

    __slots__ = ("group", "epoch", "rank", "size", "is_open")

    def __init__(self, group, epoch, rank, size, is_open):
        self.group = group
        self.epoch = epoch
        self.rank = rank
        self.size = size
        self.is_open = is_open


class ServerEntry(Record):
    """
    Entry of the registry: one announcement of a backend server.

    Parameters
    ----------
    id : str
        Identifier of the server. A later incarnation may use it again.
    born_ms : int
        Start of this incarnation, in ms of Unix time; 0 if not stated.
    sequence : int
        Increases with each announcement of an incarnation.
    service, address, data_centre : str
        Service and data centre of the server, and its address as ``host:port``.
    slots : int
        Maximum number of concurrent requests.
    state : ServerState
        Announced state.
    place : RankPlace or None
        Rank in an expert-parallel group; None if the server is in no group.
    cold : ColdReport or None
        Cold report, with ages as of its arrival. It is sent beside the entry, since its
        ages grow in transit.
    """

    __slots__ = (
        "id",
        "born_ms",
        "sequence",
        "service",
        "address",
        "data_centre",
        "slots",
        "state",
        "place",
        "cold",
    )

    def __init__(
        self,
        id,
        born_ms,
        sequence,
        service,
        address,
        data_centre,
        slots,
        state,
        place=None,
        cold=None,
    ):
        self.id = id
        self.born_ms = born_ms
        self.sequence = sequence
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.state = state
        self.place = place
        self.cold = cold

    @property
    def order_key(self):
        """
        Sort key that orders the announcements of one id.

        The end of an incarnation follows all its heartbeats: a heartbeat that was sent
        before the end may arrive later, and would make the server receive requests
        again.
        """
        return (self.born_ms, self.state is ServerState.GONE, self.sequence)

    def has_endpoint_of(self, other):
        """
        Return whether two announcements name one service and one address.

        Parameters
        ----------
        other : ServerEntry

        Returns
        -------
        bool
        """
        return (self.service, self.address) == (other.service, other.address)

    def to_json(self):
        """
        Encode as a JSON-compatible value.

        Returns
        -------
        list
            The fields without ``cold``: processes of earlier releases accept only
            these.
        """
        place = None if self.place is None else self.place.as_list()
        return [
            self.id,
            self.born_ms,
            self.sequence,
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            self.state.value,
            place,
        ]

    @classmethod
    def from_json(cls, packed):
        """
        Decode the result of `to_json`.

        Parameters
        ----------
        packed : list
            Encoded fields.

        Returns
        -------
        ServerEntry
        """
        *fields, state, place = packed
        place = None if place is None else RankPlace(*place)
        return cls(*fields, ServerState(state), place)


class ServerRegistry:
    """
    Registry of the backend servers that a process knows.

    Attributes
    ----------
    entries : dict of str to ServerEntry
        The newest announcement of each id.
    last_heard_s : dict of str to float
        When each was last heard of, on this process's clock, in seconds.
    change_numbers : dict of str to int
        For each id, the number of its last change.
    change_count : int
        Number of changes so far.
    cold : dict of str to LocalColdReport
        Cold report of the newest incarnation of each id.
    departures : DepartureBook
        Incarnations that take no further requests, also of ids without an entry.
    """

    __slots__ = (
        "departures",
        "entries",
        "last_heard_s",
        "change_numbers",
        "change_count",
        "cold",
        "_by_address",
    )

    def __init__(self):
        self.departures = DepartureBook()
        self.entries = {}
        self.cold = {}
        self.last_heard_s = {}
        self.change_numbers = {}
        self.change_count = 0
        self._by_address = {}

    def apply(self, entry, now):
        """
        Apply an announcement unless a later one is known.

        Parameters
        ----------
        entry : ServerEntry
            The announcement.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether anything but the sequence number has changed. A cold time that ends
            as reported before is no change.
        """
        if self.contradicts(entry):
            return False
        entry = self.departures.apply_to(entry)
        known = self.entries.get(entry.id)
        if known is not None and known.order_key >= entry.order_key:
            return False
        if not self._claim_address(entry):
            return False
        is_change = self._merge_cold_report(entry, known, now)
        if known is not None:
            same = known.replace(sequence=entry.sequence, cold=entry.cold)
            is_change = is_change or same != entry
        self._store(entry, now, is_change)
        return is_change

    def rivals(self, entry):
        """
        List the entries that hold the id or the address of an announcement.

        Parameters
        ----------
        entry : ServerEntry
            The announcement.

        Returns
        -------
        list of ServerEntry
        """
        ids = {entry.id, self._by_address.get(entry.address)}
        return [self.entries[id] for id in ids if id in self.entries]

    def contradicts(self, entry):
        """
        Return whether an announcement is another server's under a known id.

        An incarnation keeps its service and its address. An announcement that names
        others was not sent by it, and would keep its own announcements out by a higher
        sequence number.

        Parameters
        ----------
        entry : ServerEntry
            The announcement.

        Returns
        -------
        bool
            False if the announcement does not state its incarnation.
        """
        known = self.entries.get(entry.id)
        if known is None or not entry.born_ms or known.born_ms != entry.born_ms:
            return False
        return not known.has_endpoint_of(entry)

    def _merge_cold_report(self, entry, known, now):
        """Merge the cold report; return whether followers have to be notified."""
        report = LocalColdReport.from_report(entry.cold, now)
        if known is None or known.born_ms != entry.born_ms:
            self.cold[entry.id] = report
            return True
        before = self.cold[entry.id]
        after = self.cold[entry.id] = before.merge(report, now)
        return after.replace(first_heard_s=before.first_heard_s) != before

    def _claim_address(self, entry):
        """
        Check that an entry does not come from a former holder of its address.

        A holder that started earlier is marked as gone. Returns False if the holder
        started later.
        """
        holder = self.entries.get(self._by_address.get(entry.address))
        if holder is None or holder.id == entry.id:
            return True
        if holder.born_ms > entry.born_ms:
            # The sender ended before the present holder started at its address.
            return False
        if entry.state is not ServerState.GONE:
            self._record_change(holder.replace(state=ServerState.GONE))
        return True

    def _store(self, entry, now, is_change):
        if entry.state is not ServerState.GONE:
            self._by_address[entry.address] = entry.id
        self.last_heard_s[entry.id] = now
        if is_change:
            self._record_change(entry)
        else:
            # Followers are notified only of changes: forwarding each heartbeat to each
            # entry would cost more than all other notifications.
            self.entries[entry.id] = entry

    def _record_change(self, entry):
        self.change_count += 1
        self.entries[entry.id] = entry
        self.change_numbers[entry.id] = self.change_count

    def end(self, id, born_ms, now):
        """
        Record that a server has announced its end.

        Parameters
        ----------
        id : str
            Identifier of the server.
        born_ms : int or None
            Start of the incarnation that ends, in ms of Unix time; None if not stated,
            which ends the known incarnation.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the server was known and not gone, and the known incarnation did not
            start later.
        """
        known = self.entries.get(id)
        if known is None or known.state is ServerState.GONE:
            return False
        if born_ms is not None and born_ms < known.born_ms:
            return False
        self._store(known.replace(state=ServerState.GONE), now, is_change=True)
        return True

    def depart(self, departure, now):
        """
        Record that an incarnation takes no further requests.

        Parameters
        ----------
        departure : Departure
            The departure; its server need not be known.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether it was not known yet.
        """
        if not self.departures.record(departure, self.change_count + 1, now):
            return False
        self.change_count += 1
        known = self.entries.get(departure.id)
        if known is not None:
            after = self.departures.apply_to(known)
            if after is not known:
                self._record_change(after)
        return True

    def changed_since(self, change_count):
        """
        List the servers that changed after a number of changes.

        Parameters
        ----------
        change_count : int
            An earlier value of the attribute ``change_count``.

        Returns
        -------
        list of ServerEntry
        """
        if change_count >= self.change_count:
            return []
        return [
            self.entries[id]
            for id, number in self.change_numbers.items()
            if number > change_count
        ]

    def cold_reports(self, entries, now):
        """
        Encode the cold reports of servers to forward them.

        Parameters
        ----------
        entries : list of ServerEntry
            The servers.
        now : float
            Current time, in seconds.

        Returns
        -------
        dict of str to list
            For each server id, the fields of its `ColdReport`.
        """
        return {
            entry.id: self.cold[entry.id].to_report(now).as_list() for entry in entries
        }

    def remove_expired(self, now, silence_s):
        """
        Remove servers that were not heard of for too long, and old tombstones.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        silence_s : float
            How long a silent server is kept, in seconds. One that has ended is kept for
            at least 120 s.

        Returns
        -------
        list of str
            The ids that were removed.
        """
        removed = []
        for id, entry in self.entries.items():
            limit_s = silence_s
            if entry.state is ServerState.GONE:
                limit_s = max(silence_s, _TOMBSTONE_S)
            if now - self.last_heard_s[id] > limit_s:
                removed.append(id)
        for id in removed:
            entry = self.entries.pop(id)
            del self.last_heard_s[id], self.change_numbers[id], self.cold[id]
            if self._by_address.get(entry.address) == id:
                del self._by_address[entry.address]
        return removed
