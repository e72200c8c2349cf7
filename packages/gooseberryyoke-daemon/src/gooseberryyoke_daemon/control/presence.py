"""The entries that report to control processes, and which to name to callers."""

from gooseberryyoke.record import Record

__all__ = ["EntryPresence", "Presences", "Roster"]

_SILENT_S = 2.5
"""Three of the rounds in which an entry reports."""
_BROKEN_S = 0.7
"""After its report broke off: an entry that lives calls again within 0.3 s."""


class EntryPresence(Record):
    """
    An entry as it reports itself.

    Parameters
    ----------
    name : str
    address : str
        Where callers connect.
    internal : str
        Where the deployment's other processes connect.
    data_centre : str
    is_open : bool
        Takes new callers.
    """

    __slots__ = ("name", "address", "internal", "data_centre", "is_open")

    def __init__(self, name, address, internal, data_centre, is_open):
        self.name = name
        self.address = address
        self.internal = internal
        self.data_centre = data_centre
        self.is_open = is_open


class Presences:
    """Entries by name, with the time until which each counts as there."""

    __slots__ = ("_entries", "_until_s")

    def __init__(self):
        self._entries = {}
        self._until_s = {}

    def hear(self, presence, now):
        """
        Note a report.

        Parameters
        ----------
        presence : EntryPresence
        now : float
            In seconds.

        Returns
        -------
        bool
            Whether it says something new.
        """
        before = self._entries.get(presence.name)
        self._entries[presence.name] = presence
        self._until_s[presence.name] = now + _SILENT_S
        return before != presence

    def broke_off(self, name, now):
        """
        Note that a report's connection ended, as it does when a process dies.

        Parameters
        ----------
        name : str
        now : float
            In seconds.
        """
        if name in self._until_s:
            self._until_s[name] = min(self._until_s[name], now + _BROKEN_S)

    def there(self, now):
        """
        List the entries that count as there.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of EntryPresence
        """
        return [
            entry for name, entry in self._entries.items() if self._until_s[name] > now
        ]


class Roster:
    """
    The entries, as other processes tell of them.

    An entry is there if one of them says so. While none can be heard, the last word
    holds: callers that are named an entry that has gone try the next one, callers that
    are named none can't come.

    Parameters
    ----------
    own : callable, optional
        Gives this process's own `EntryPresence`, if it is an entry.
    """

    __slots__ = ("_own", "_told")

    def __init__(self, own=lambda: None):
        self._own = own
        self._told = {}

    def hear(self, teller, entries, now):
        """
        Take over what a process tells.

        Parameters
        ----------
        teller : str
            Its address.
        entries : list of list
            The fields of an `EntryPresence`, in order.
        now : float
            In seconds.
        """
        self._told[teller] = (now, [EntryPresence(*entry) for entry in entries])

    def there(self, now):
        """
        List the entries that count as there.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        dict of str to EntryPresence
            By name.
        """
        latest_s = max((at_s for at_s, _ in self._told.values()), default=now)
        entries = {}
        for at_s, told in sorted(self._told.values(), key=lambda item: item[0]):
            if at_s >= latest_s - _SILENT_S:
                entries.update({entry.name: entry for entry in told})
        own = self._own()
        if own is not None:
            entries[own.name] = own
        return entries

    def addresses(self, data_centre, now):
        """
        List where callers may connect.

        Parameters
        ----------
        data_centre : str
            Of the caller; its entries come first.
        now : float
            In seconds.

        Returns
        -------
        list of str
        """
        there = [entry for entry in self.there(now).values() if entry.is_open]
        there.sort(key=lambda entry: (entry.data_centre != data_centre, entry.name))
        return [entry.address for entry in there]
