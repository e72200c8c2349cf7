"""Usage of a service by client accounts at the other entries."""

__all__ = ["PeerUsage"]

PEER_USAGE_TTL_S = 5.0
"""Time to live in seconds of the usage that another entry reported."""


class PeerUsage:
    """Usage of a service by client accounts, as reported by the other entries."""

    __slots__ = ("_by_entry", "_by_account", "total_s")

    def __init__(self):
        self._by_entry = {}
        self._by_account = {}
        self.total_s = 0.0

    def update(self, entry, in_flight_s, now):
        """
        Replace the usage reported by an entry.

        Parameters
        ----------
        entry : str
        in_flight_s : dict of str to float
            Work in flight at that entry, by account.
        now : float
            Time in seconds.
        """
        self._by_entry[entry] = (now, in_flight_s)
        self._update_totals()

    def remove_expired(self, now):
        """
        Remove usage older than `PEER_USAGE_TTL_S`.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        expired = [
            entry
            for entry, (at, _) in self._by_entry.items()
            if now - at > PEER_USAGE_TTL_S
        ]
        for entry in expired:
            del self._by_entry[entry]
        if expired:
            self._update_totals()

    def in_flight_s(self, account):
        """
        Return an account's work in flight at all other entries.

        Parameters
        ----------
        account : str

        Returns
        -------
        float
            Work in flight in seconds.
        """
        return self._by_account.get(account, 0.0)

    def _update_totals(self):
        self._by_account = {}
        for _, in_flight_s in self._by_entry.values():
            for account, used_s in in_flight_s.items():
                self._by_account[account] = self.in_flight_s(account) + used_s
        self.total_s = sum(self._by_account.values())
