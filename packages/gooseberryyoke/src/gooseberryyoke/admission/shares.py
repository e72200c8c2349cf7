"""Weighted shares of a service between client accounts."""

from collections import OrderedDict
from heapq import nlargest

from gooseberryyoke.admission.peer_usage import PeerUsage
from gooseberryyoke.record import Record

__all__ = ["AccountUsage", "Shares"]

ACCOUNT_TTL_S = 30.0
"""Time in seconds for which an inactive account keeps its share."""


class AccountUsage(Record):
    """
    Current usage of a service by one client account.

    Parameters
    ----------
    weight : float
        Weight of the account among the active ones.
    in_flight_s : float
        Sum of the costs of its requests in flight, in seconds.
    last_active_s : float
        Time in seconds at which the account was last active.
    """

    __slots__ = ("weight", "in_flight_s", "last_active_s")

    def __init__(self, weight, in_flight_s, last_active_s):
        self.weight = weight
        self.in_flight_s = in_flight_s
        self.last_active_s = last_active_s


class Shares:
    """
    Weighted shares of one service between client accounts.

    The work in flight at all entries is divided by weight between the active
    accounts. An account that has been inactive for `ACCOUNT_TTL_S` loses its share
    to the others.

    Parameters
    ----------
    borrow : float
        Fraction of the other accounts' unused shares that an account may use
        while the service is contended, from 0 to 1.
    """

    __slots__ = ("borrow", "_usages", "_peers", "_total_weight", "_total_s")

    def __init__(self, borrow):
        self.borrow = borrow
        self._usages = OrderedDict()
        self._peers = PeerUsage()
        self._total_weight = 0.0
        self._total_s = 0.0

    def mark_active(self, account, weight, now):
        """
        Mark an account as active and drop the inactive ones.

        Parameters
        ----------
        account : str
        weight : float
            Weight of the account's share, greater than 0.
        now : float
            Time in seconds.
        """
        usage = self._usages.get(account)
        if usage is None:
            usage = self._usages[account] = AccountUsage(0.0, 0.0, now)
        self._total_weight += weight - usage.weight
        usage.weight = weight
        usage.last_active_s = now
        self._usages.move_to_end(account)
        self._drop_inactive(now)
        self._peers.remove_expired(now)

    def add(self, account, cost_s):
        """
        Add the cost of a request to an account's work in flight.

        Parameters
        ----------
        account : str
            An account that `mark_active` has added.
        cost_s : float
            Cost of the request in seconds; negative when the request ends.
        """
        usage = self._usages[account]
        usage.in_flight_s = max(0.0, usage.in_flight_s + cost_s)
        self._total_s = max(0.0, self._total_s + cost_s)

    def excess_s(self, account, cost_s):
        """
        Return by how much one more request would exceed an account's share.

        Parameters
        ----------
        account : str
            An account that `mark_active` has added.
        cost_s : float
            Cost of the request in seconds.

        Returns
        -------
        float
            Excess in seconds of work in flight; 0 or less if within the share.
        """
        total_s = self._total_s + self._peers.total_s + cost_s
        per_weight_s = total_s / self._total_weight
        share_s = self._usages[account].weight * per_weight_s
        excess_s = self.in_flight_s(account) + cost_s - share_s
        if excess_s <= 0 or not self.borrow:
            return excess_s
        return excess_s - self.borrow * self._unused_s(account, per_weight_s)

    def in_flight_s(self, account):
        """
        Return an account's work in flight at this and the other entries.

        Parameters
        ----------
        account : str

        Returns
        -------
        float
            Work in flight in seconds.
        """
        usage = self._usages.get(account)
        own_s = 0.0 if usage is None else usage.in_flight_s
        return own_s + self._peers.in_flight_s(account)

    def largest(self, limit):
        """
        Return the accounts with the most work in flight at this entry.

        Parameters
        ----------
        limit : int
            Maximum number of accounts.

        Returns
        -------
        dict of str to tuple of float
            Weight and work in flight in seconds, by account, largest first.
        """
        busy = [item for item in self._usages.items() if item[1].in_flight_s > 0]
        largest = nlargest(limit, busy, key=lambda item: item[1].in_flight_s)
        return {
            account: (usage.weight, usage.in_flight_s) for account, usage in largest
        }

    def update_peer_usage(self, entry, largest, now):
        """
        Replace the usage at another entry and mark its accounts as active.

        Parameters
        ----------
        entry : str
        largest : dict of str to tuple of float
            Result of `largest` at that entry.
        now : float
            Time in seconds.
        """
        for account, (weight, _) in largest.items():
            self.mark_active(account, weight, now)
        used_s = {account: used_s for account, (_, used_s) in largest.items()}
        self._peers.update(entry, used_s, now)

    def _unused_s(self, account, per_weight_s):
        return sum(
            max(0.0, usage.weight * per_weight_s - self.in_flight_s(name))
            for name, usage in self._usages.items()
            if name != account
        )

    def _drop_inactive(self, now):
        while True:
            account, usage = next(iter(self._usages.items()))
            if now - usage.last_active_s <= ACCOUNT_TTL_S:
                return
            if usage.in_flight_s > 0:
                usage.last_active_s = now
                self._usages.move_to_end(account)
                continue
            del self._usages[account]
            self._total_weight -= usage.weight
