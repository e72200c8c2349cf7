"""What the gateways tell each other of the backend servers."""

from math import inf

import trio

from gooseberryyoke.placement import MAX_BACKOFF_S, PEER_COUNT_TTL_S

__all__ = ["Peers"]

_LONGEST_BACKOFF_MS = round(1000 * MAX_BACKOFF_S)
_TOLD_FOR_S = 5.0
"""For which other gateways are told again of a server's word on its limit: datagrams
may be lost."""
_WAITING_LIFE_S = 0.5
"""Of a report of who waits. One is sent each 0.1 s while requests wait."""


class Peers:
    """
    Takes what other gateways tell, and gives what they are to be told.

    Parameters
    ----------
    by_id : dict of str to Server
        The servers that are known, kept up to date by its owner.
    group_limits : GroupLimits

    Attributes
    ----------
    count : int
        Other gateways that share the servers.
    group_limits : GroupLimits
    names : set of str
        Gateways that share the servers, this one included.
    own_waiting : callable
        Gives the requests that wait here, as of `Admit.waiting`.
    """

    __slots__ = (
        "count",
        "group_limits",
        "names",
        "own_waiting",
        "_by_id",
        "_heard_s",
        "_heard",
        "_all_heard_since_s",
        "_noted",
        "_busy_at",
        "_waiting",
    )

    def __init__(self, by_id, group_limits):
        self.count = 0
        self.group_limits = group_limits
        self.names = set()
        self.own_waiting = dict
        self._waiting = {}
        self._by_id = by_id
        self._heard_s = {}
        self._heard = 0
        self._all_heard_since_s = -inf
        self._noted = None
        self._busy_at = {}

    def expect(self, count):
        """
        Take the number of other gateways that share the servers.

        Parameters
        ----------
        count : int
        """
        self.count = count
        self._note_unheard(trio.current_time())

    def note_new_server(self):
        """Note that a server was added to those that are known."""
        self._noted = None

    def _note_unheard(self, now):
        """
        Tell all servers' loads of how many other gateways nothing is known.

        Each datagram asks for it: gateways are counted only once one of them may have
        fallen silent, and servers told only of a change.
        """
        if now - self._all_heard_since_s >= PEER_COUNT_TTL_S:
            live_s = [
                at for at in self._heard_s.values() if now - at < PEER_COUNT_TTL_S
            ]
            self._heard = len(live_s)
            self._all_heard_since_s = min(live_s, default=now)
        unheard = max(0, self.count - self._heard)
        if unheard != self._noted:
            self._noted = unheard
            for server in self._by_id.values():
                server.load.unknown_peers = unheard

    def _note_heard(self, gateway, now):
        before_s = self._heard_s.get(gateway, -inf)
        self._heard_s[gateway] = now
        self._heard += now - before_s >= PEER_COUNT_TTL_S
        self._note_unheard(now)

    def use_names(self, names):
        """
        Take which gateways share the servers' limits.

        Parameters
        ----------
        names : collection of str
            This gateway's own included.
        """
        self.names = set(names)
        self._waiting = {g: told for g, told in self._waiting.items() if g in names}
        for server in self._by_id.values():
            server.limit.use_gateways(names)

    def take_waiting(self, gateway, waiting):
        """
        Take which requests wait at another gateway.

        Parameters
        ----------
        gateway : str
        waiting : dict of str to dict of int to int
            By service and urgency; services that are not named have none.
        """
        self._waiting[gateway] = (trio.current_time(), waiting)

    def waiting_by_gateway(self, service):
        """
        List the requests that wait at other gateways, by reports of the last 0.5 s.

        Parameters
        ----------
        service : str

        Returns
        -------
        dict of str to dict of int to int
            By gateway and urgency; those where nobody waits are left out.
        """
        since_s = trio.current_time() - _WAITING_LIFE_S
        return {
            gateway: waiting[service]
            for gateway, (told_s, waiting) in self._waiting.items()
            if told_s >= since_s and waiting.get(service)
        }

    def waiting_elsewhere(self, service):
        """
        Count the requests that wait at other gateways, by reports of the last 0.5 s.

        Parameters
        ----------
        service : str

        Returns
        -------
        dict of int to int
            By urgency.
        """
        counts = {}
        for levels in self.waiting_by_gateway(service).values():
            for level, count in levels.items():
                counts[level] = counts.get(level, 0) + count
        return counts

    def told_limits(self):
        """
        List what servers have said lately to this gateway of their limits.

        Returns
        -------
        dict of str to list
            By server, the requests a second (None if there is no limit any more) and
            the age of the word in milliseconds.
        """
        now = trio.current_time()
        return {
            id: [
                server.limit.stated_rate,
                round(1000 * (now - server.limit.reported_s)),
            ]
            for id, server in self._by_id.items()
            if now - server.limit.reported_s <= _TOLD_FOR_S
        }

    def take_limits(self, limits):
        """
        Take what servers have said to another gateway of their limits.

        Parameters
        ----------
        limits : dict of str to list
            As of `told_limits`.

        Raises
        ------
        TypeError, ValueError
            If it has another form.
        """
        now = trio.current_time()
        for id, (rate, age_ms) in limits.items():
            if rate is not None and not 0 <= float(rate) < inf:
                raise ValueError(f"limit {rate!r} is no number from 0")
            if type(age_ms) is not int or age_ms < 0:
                raise ValueError(f"age {age_ms!r} is no whole number of ms from 0")
            if id in self._by_id:
                self._by_id[id].limit.update(rate, now - age_ms / 1000)

    def own_backoffs(self):
        """
        List the pauses that servers have asked this gateway for.

        Returns
        -------
        dict of str to float
            By server, the end on trio's clock.
        """
        now = trio.current_time()
        return {
            id: server.backoff.until_s
            for id, server in self._by_id.items()
            if server.backoff.is_on(now)
        }

    def take_backoffs(self, backoffs):
        """
        Take the pauses that servers have asked another gateway for.

        Parameters
        ----------
        backoffs : dict of str to int
            By server, what was left of each when it was told, in milliseconds.

        Raises
        ------
        ValueError
            If one is no time within bounds.
        """
        now = trio.current_time()
        for id, left_ms in backoffs.items():
            if type(left_ms) is not int or not 0 <= left_ms <= _LONGEST_BACKOFF_MS:
                raise ValueError(f"pause {left_ms!r} is no time within bounds")
            if id in self._by_id:
                self._by_id[id].backoff.record_peer_backoff(left_ms / 1000, now)

    def own_counts(self):
        """
        Count this gateway's requests.

        Returns
        -------
        dict of str to int
            By server; those without any are left out.
        """
        return {id: s.load.own for id, s in self._by_id.items() if s.load.own}

    def take_shares(self, gateway, counts, is_all):
        """
        Take another gateway's counts.

        Parameters
        ----------
        gateway : str
        counts : dict of str to int
        is_all : bool
            Servers that are not named have none.
        """
        now = trio.current_time()
        self._note_heard(gateway, now)
        taken = {id: int(n) for id, n in counts.items() if id in self._by_id}
        # Kept, as most servers have no request of any one gateway.
        busy_at = self._busy_at.pop(gateway, frozenset())
        if is_all:
            taken.update(dict.fromkeys(busy_at - taken.keys(), 0))
        for id, count in taken.items():
            server = self._by_id.get(id)
            if server is not None:
                server.load.update_peer_count(gateway, count, now)
        busy_at = busy_at - taken.keys() | {id for id, n in taken.items() if n}
        if busy_at:
            self._busy_at[gateway] = busy_at
