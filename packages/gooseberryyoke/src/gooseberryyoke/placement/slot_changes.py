"""Announcements and repeated reports of requests that take scarce slots.

Gateways report their request counts every 0.1 s. While requests wait at 39 or 47
gateways, a start that becomes known only 0.05 to 0.3 s later lets other gateways send
to the same slot, and a lost report leaves a wrong count in use for up to a second.
"""

__all__ = ["AnnouncedStarts", "MAX_ANNOUNCED_SERVERS", "SlotChanges"]

_REPEATS = 2
"""Number of reports that repeat a changed count. If a third of the reports is lost, one
change in 27 is missed instead of one in three."""
_ANNOUNCEMENT_LIFE_S = 0.3
"""Time in seconds for which an announced count is a lower bound. Reports that were sent
before an announcement may arrive this much later: relays collect reports for up to 0.1
s, and transmission between data centres takes 0.2 s."""
MAX_ANNOUNCED_SERVERS = 30
"""Maximum number of servers in one announcement, which keeps its datagram below
1,200 bytes."""
_MAX_COUNT = 100_000
"""Maximum number of requests in an announced count."""
_MAX_HELD = 1000
"""Maximum number of announced counts that are kept per gateway; an announcement that
would exceed it is ignored."""


class SlotChanges:
    """Changes in the number of this gateway's requests at servers with shared slots."""

    __slots__ = ("_announced", "_reported", "_repeats", "_changed")

    def __init__(self):
        self._announced = {}
        self._reported = {}
        self._repeats = {}
        self._changed = set()

    def record_change(self, server):
        """
        Record that a request of this gateway has started or ended.

        Parameters
        ----------
        server : str
            Id of the server.
        """
        self._changed.add(server)

    def record_announced(self, server, own):
        """
        Record that a count has been announced to all other gateways.

        Parameters
        ----------
        server : str
            Id of the server.
        own : int
            Announced number of this gateway's requests there.
        """
        self._announced[server] = own

    def needs_announcement(self, server, own):
        """
        Return whether a server has more requests of this gateway than others know of.

        A request that takes the slot of one that has ended since the last report needs
        no announcement: for the other gateways that slot was never free.

        Parameters
        ----------
        server : str
            Id of the server.
        own : int
            Current number of this gateway's requests there.

        Returns
        -------
        bool
            Whether the count exceeds the last announced or reported one.
        """
        known = self._announced.get(server, self._reported.get(server, 0))
        return own > known

    def report(self, counts):
        """
        Record a report of all counts to all other gateways; return counts to repeat.

        Parameters
        ----------
        counts : dict of str to int
            Number of this gateway's requests by server; servers without any are left
            out.

        Returns
        -------
        dict of str to int
            Current counts of the servers whose count changed in one of the last two
            reports.
        """
        repeated = {server: counts.get(server, 0) for server in self._repeats}
        self._repeats = {s: left - 1 for s, left in self._repeats.items() if left > 1}
        for server in self._changed:
            if counts.get(server, 0) != self._reported.get(server, 0):
                self._repeats[server] = _REPEATS
        self._changed.clear()
        self._announced.clear()
        self._reported = dict(counts)
        return repeated


class AnnouncedStarts:
    """
    Request counts that other gateways have announced.

    A report that was sent before an announcement but arrives after it must not undo it.
    Streams last longer than the transmission of reports takes, so that an announced
    count is a lower bound for that time.
    """

    __slots__ = ("_by_gateway",)

    def __init__(self):
        self._by_gateway = {}

    def record(self, gateway, counts, now):
        """
        Record an announcement.

        Parameters
        ----------
        gateway : str
            Name of the gateway that sent it.
        counts : dict of str to int
            Number of the gateway's requests by server.
        now : float
            Current time in seconds.

        Raises
        ------
        ValueError
            If it has too many servers, or a count that is out of bounds; then none of
            its counts is recorded.
        """
        if len(counts) > MAX_ANNOUNCED_SERVERS:
            raise ValueError(
                f"announcement has {len(counts)} servers, "
                f"at most {MAX_ANNOUNCED_SERVERS} are allowed"
            )
        for count in counts.values():
            if type(count) is not int or not 0 <= count <= _MAX_COUNT:
                raise ValueError(
                    f"announced count {count!r} is not an integer "
                    f"from 0 to {_MAX_COUNT}"
                )
        held = self._current(gateway, now)
        if len(held) + len(counts) <= _MAX_HELD:
            until_s = now + _ANNOUNCEMENT_LIFE_S
            held.update({server: (n, until_s) for server, n in counts.items()})
            self._by_gateway[gateway] = held

    def _current(self, gateway, now):
        held = self._by_gateway.pop(gateway, {})
        return {server: entry for server, entry in held.items() if entry[1] > now}

    def correct_report(self, gateway, counts, is_all, now):
        """
        Correct a report that may have been sent before an announcement.

        Parameters
        ----------
        gateway : str
            Name of the gateway that sent the report.
        counts : dict of str to int
            Reported number of requests by server.
        is_all : bool
            Whether servers that are missing from the report have no requests.
        now : float
            Current time in seconds.

        Returns
        -------
        dict of str to int
            Reported counts, each at least as high as the announced one.
        """
        if gateway not in self._by_gateway:
            return counts
        held = self._current(gateway, now)
        if not held:
            return counts
        self._by_gateway[gateway] = held
        least = {
            server: max(count, counts.get(server, 0))
            for server, (count, _) in held.items()
            if is_all or server in counts
        }
        return {**counts, **least}
