"""Even sharing of slots among client accounts with requests of the same urgency.

If one of 24 client accounts sends many times its usual number of requests and requests
are served in order of arrival, that account gets nearly all slots, and the requests of
every other account are late.
"""

from collections import Counter, deque

__all__ = ["FairShare"]

_WINDOW_S = 2.0
"""Time in seconds for which a started request counts as running, the duration of a
usual stream."""


class FairShare:
    """Numbers of recently started requests of each client account."""

    __slots__ = ("_starts", "_counts")

    def __init__(self):
        self._starts = deque()
        self._counts = Counter()

    def record_start(self, account, now):
        """
        Count a request that got a slot.

        Parameters
        ----------
        account : str or None
            Name of the client account.
        now : float
            Current time in seconds.
        """
        self._remove_old(now)
        self._starts.append((now, account))
        self._counts[account] += 1

    def undo_start(self, account):
        """Undo the latest start of an account if its request did not run after all."""
        for position in range(len(self._starts) - 1, -1, -1):
            if self._starts[position][1] == account:
                del self._starts[position]
                self._decrement(account)
                return

    def excess(self, accounts, now):
        """
        Compute by how much accounts exceed an even share.

        Parameters
        ----------
        accounts : set
            Accounts with waiting requests.
        now : float
            Current time in seconds.

        Returns
        -------
        dict
            By account, the number of recently started requests above an even share of
            all recently started requests; 0 for accounts within their share, which are
            served in order of arrival.
        """
        self._remove_old(now)
        active = len(accounts | self._counts.keys())
        even = len(self._starts) / max(1, active)
        return {
            account: max(0.0, self._counts.get(account, 0) - even)
            for account in accounts
        }

    def _remove_old(self, now):
        while self._starts and now - self._starts[0][0] > _WINDOW_S:
            _, account = self._starts.popleft()
            self._decrement(account)

    def _decrement(self, account):
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
