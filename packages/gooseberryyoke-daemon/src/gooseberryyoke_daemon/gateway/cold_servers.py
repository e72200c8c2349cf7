"""Cold servers as this gateway sees them: what services declare, and what is logged."""

from math import inf

import trio

from gooseberryyoke.membership.cold_report import MAX_COLD_MS
from gooseberryyoke.placement import ColdLimit, ColdRate, RateLimit, SenderMembership
from gooseberryyoke_daemon.logs import log_event

__all__ = ["ColdServers"]


class ColdServers:
    """
    Gives servers their limits, and follows which of them are cold.

    Parameters
    ----------
    by_id : dict of str to Server
        The servers that are known, kept up to date by its owner.
    name : str
        Of this gateway.
    overage, slack : float
        See `ColdRate`.
    """

    __slots__ = ("_by_id", "_name", "_overage", "_slack", "_group", "_rates", "_since")

    def __init__(self, by_id, name, overage, slack):
        self._by_id = by_id
        self._name = name
        self._overage = overage
        self._slack = slack
        self._group = SenderMembership(name)
        self._rates = {}
        self._since = {}

    def use_table(self, table):
        """
        Take what the services of a table declare.

        Parameters
        ----------
        table : RouteTable
        """
        self._rates = {
            service.name: ColdRate(
                service.cold_per_s,
                min(max(0.0, service.cold_start_s), MAX_COLD_MS / 1000),
                self._overage,
                self._slack,
            )
            for service in table.services.values()
            if service.cold_per_s > 0
        }
        now = trio.current_time()
        for server in self._by_id.values():
            server.limit.configure_cold(self._rates.get(server.entry.service), now)
        self.look()

    def new_limit(self, entry):
        """
        Make the limit of a server's life.

        Parameters
        ----------
        entry : ServerEntry

        Returns
        -------
        RateLimit
        """
        now = trio.current_time()
        self._group.begin_discovery(now)
        cold = ColdLimit(entry.id, self._name, self._group)
        limit = RateLimit(entry.id, self._name, cold)
        limit.configure_cold(self._rates.get(entry.service), now)
        return limit

    def hear(self, server, times):
        """
        Take what a server's announcements say.

        Parameters
        ----------
        server : Server
        times : LocalColdReport
        """
        now = trio.current_time()
        server.limit.update_cold(
            times.left_s, times.reported_s, times.first_heard_s, now
        )

    def start(self):
        """Note that this gateway's process starts: no life before sends any more."""
        self._group.start(trio.current_time())

    def wants_list(self):
        """Tell whether a list of gateways would let this one send earlier."""
        return self._group.wants_list(trio.current_time())

    def ignore_list(self):
        """Note that the list can't be read: to ask for it again would not help."""
        self._group.ignore_list()

    def use_list(self, names, age_s):
        """
        Take the durable list of gateways.

        Parameters
        ----------
        names : collection of str
        age_s : float
            Since a majority confirmed it, in seconds.
        """
        now = trio.current_time()
        was_wanted = self._group.wants_list(now)
        self._group.apply_list(names, age_s, now)
        if was_wanted and not self._group.wants_list(now):
            opens_s = max(0.0, self._group.opens_s - now)
            log_event(
                "gateway-list-used",
                listed=len(names),
                is_listed=self._name in names,
                # Infinite at a gateway that is not listed, and knows no server yet.
                opens_ms=None if opens_s == inf else round(1000 * opens_s),
            )

    def use_names(self, names):
        """
        Take which gateways share what cold servers take.

        Parameters
        ----------
        names : collection of str
        """
        self._group.update_members(names, trio.current_time())
        self.look()

    def count(self):
        """
        Count the servers that are cold.

        Returns
        -------
        dict of str to int
            By service, of those that declare what cold servers take.
        """
        now = trio.current_time()
        counts = dict.fromkeys(self._rates, 0)
        for server in self._by_id.values():
            if server.limit.cold.is_cold(now):
                counts[server.entry.service] += 1
        return counts

    def look(self):
        """Log which servers have become cold, and which no longer are."""
        if not self._rates and not self._since:
            return
        now = trio.current_time()
        for id, server in self._by_id.items():
            if server.limit.cold.is_cold(now):
                self._note_cold(id, server, now)
            elif id in self._since:
                self._note_warm(id, server, now)
        for id in self._since.keys() - self._by_id.keys():
            del self._since[id]

    def _note_cold(self, id, server, now):
        born_ms, _ = self._since.get(id, (None, now))
        if born_ms == server.entry.born_ms:
            return
        self._since[id] = (server.entry.born_ms, now)
        cold = server.limit.cold
        log_event(
            "server-cold",
            server=id,
            service=server.entry.service,
            born_ms=server.entry.born_ms,
            left_ms=round(1000 * (cold.ends_s - now)),
            presumed=cold.is_presumed,
            rate=_shown(cold.allowed(now)),
            part=_shown(cold.share(now)),
        )

    def _note_warm(self, id, server, now):
        _, since_s = self._since.pop(id)
        log_event(
            "server-warm",
            server=id,
            service=server.entry.service,
            cold_for_ms=round(1000 * (now - since_s)),
        )


def _shown(rate):
    return None if rate == inf else round(rate, 2)
