"""What accounts use of a service at the other entries."""

__all__ = ["PeerUse"]

KEPT_S = 5.0
"""How long an entry's word is taken without a new one."""


class PeerUse:
    """What accounts use of a service at the other entries, by their word."""

    __slots__ = ("_by_entry", "_by_account", "total_s")

    def __init__(self):
        self._by_entry = {}
        self._by_account = {}
        self.total_s = 0.0

    def take(self, entry, in_flight_s, now):
        """
        Take an entry's word in place of its last one.

        Parameters
        ----------
        entry : str
        in_flight_s : dict of str to float
            Work in flight at that entry, by account.
        now : float
            Time in seconds.
        """
        self._by_entry[entry] = (now, in_flight_s)
        self._sum()

    def forget_silent(self, now):
        """
        Drop the word of entries that have fallen silent.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        silent = [
            entry for entry, (at, _) in self._by_entry.items() if now - at > KEPT_S
        ]
        for entry in silent:
            del self._by_entry[entry]
        if silent:
            self._sum()

    def in_flight_s(self, account):
        """
        Tell an account's work in flight at all other entries.

        Parameters
        ----------
        account : str

        Returns
        -------
        float
        """
        return self._by_account.get(account, 0.0)

    def _sum(self):
        self._by_account = {}
        for _, in_flight_s in self._by_entry.values():
            for account, used_s in in_flight_s.items():
                self._by_account[account] = self.in_flight_s(account) + used_s
        self.total_s = sum(self._by_account.values())
