"""Shares of one service between client accounts."""

from collections import OrderedDict
from heapq import nlargest

from gooseberryyoke.admission.peers import PeerUse
from gooseberryyoke.record import Record

__all__ = ["AccountUse", "Shares"]

ACTIVE_S = 30.0
"""How long an account's share is kept open after its last request."""


class AccountUse(Record):
    """
    What one client account uses of a service now.

    Parameters
    ----------
    weight : float
        Weight of the account among the active ones.
    in_flight_s : float
        Sum of the costs of its requests in flight.
    seen_at_s : float
        When its last request came.
    """

    __slots__ = ("weight", "in_flight_s", "seen_at_s")

    def __init__(self, weight, in_flight_s, seen_at_s):
        self.weight = weight
        self.in_flight_s = in_flight_s
        self.seen_at_s = seen_at_s


class Shares:
    """
    Shares of one service between client accounts, by weight.

    The work in flight at all entries is what there is to share. An account that
    has been silent for `ACTIVE_S` leaves its share to the others.

    Parameters
    ----------
    borrow : float
        Part of the other accounts' unused share that an account may take
        while the service is contended, from 0 to 1.
    """

    __slots__ = ("borrow", "_uses", "_peers", "_total_weight", "_total_s")

    def __init__(self, borrow):
        self.borrow = borrow
        self._uses = OrderedDict()
        self._peers = PeerUse()
        self._total_weight = 0.0
        self._total_s = 0.0

    def seen(self, account, weight, now):
        """
        Note that an account is active.

        Parameters
        ----------
        account : str
        weight : float
            Greater than 0.
        now : float
            Time in seconds.
        """
        use = self._uses.get(account)
        if use is None:
            use = self._uses[account] = AccountUse(0.0, 0.0, now)
        self._total_weight += weight - use.weight
        use.weight = weight
        use.seen_at_s = now
        self._uses.move_to_end(account)
        self._forget_silent(now)
        self._peers.forget_silent(now)

    def add(self, account, cost_s):
        """
        Count a request in flight.

        Parameters
        ----------
        account : str
            An account that was `seen`.
        cost_s : float
            Negative to take the request out again.
        """
        use = self._uses[account]
        use.in_flight_s = max(0.0, use.in_flight_s + cost_s)
        self._total_s = max(0.0, self._total_s + cost_s)

    def excess_s(self, account, cost_s):
        """
        Tell by how much one more request would exceed an account's share.

        Parameters
        ----------
        account : str
            An account that was `seen`.
        cost_s : float
            Cost of the request.

        Returns
        -------
        float
            Excess in seconds of work in flight; 0 or less within the share.
        """
        total_s = self._total_s + self._peers.total_s + cost_s
        per_weight_s = total_s / self._total_weight
        share_s = self._uses[account].weight * per_weight_s
        excess_s = self.in_flight_s(account) + cost_s - share_s
        if excess_s <= 0 or not self.borrow:
            return excess_s
        return excess_s - self.borrow * self._unused_s(account, per_weight_s)

    def in_flight_s(self, account):
        """
        Tell the work that an account has in flight, here and elsewhere.

        Parameters
        ----------
        account : str

        Returns
        -------
        float
        """
        use = self._uses.get(account)
        own_s = 0.0 if use is None else use.in_flight_s
        return own_s + self._peers.in_flight_s(account)

    def largest(self, limit):
        """
        List the accounts with the most work in flight here.

        Parameters
        ----------
        limit : int

        Returns
        -------
        dict of str to tuple of float
            Weight and seconds in flight, by account.
        """
        busy = [item for item in self._uses.items() if item[1].in_flight_s > 0]
        found = nlargest(limit, busy, key=lambda item: item[1].in_flight_s)
        return {account: (use.weight, use.in_flight_s) for account, use in found}

    def take_peer(self, entry, largest, now):
        """
        Take what `largest` told at another entry.

        Parameters
        ----------
        entry : str
        largest : dict of str to pair of float
        now : float
            Time in seconds.
        """
        for account, (weight, _) in largest.items():
            self.seen(account, weight, now)
        used_s = {account: used_s for account, (_, used_s) in largest.items()}
        self._peers.take(entry, used_s, now)

    def _unused_s(self, account, per_weight_s):
        return sum(
            max(0.0, use.weight * per_weight_s - self.in_flight_s(name))
            for name, use in self._uses.items()
            if name != account
        )

    def _forget_silent(self, now):
        while True:
            account, use = next(iter(self._uses.items()))
            if now - use.seen_at_s <= ACTIVE_S:
                return
            if use.in_flight_s > 0:
                use.seen_at_s = now
                self._uses.move_to_end(account)
                continue
            del self._uses[account]
            self._total_weight -= use.weight
