"""Other gateways that are there, or were until lately."""

import trio

__all__ = ["RecentGateways"]

_KEPT_S = 30.0
"""For which a gateway that is no longer told of may be back, or was only cut off from
the processes that tell of it."""
_UNTOLD_S = 3.0
"""After its start, for which a gateway may not have been told of the others yet."""


class RecentGateways:
    """
    Remembers the other gateways that a gateway was told of.

    Parameters
    ----------
    presence : callable
        Gives this gateway's own `EntryPresence`.
    there : callable
        Gives the gateways that are there by name, this one included.
    """

    __slots__ = ("_presence", "_there", "_seen", "_seen_s", "_started_s")

    def __init__(self, presence, there):
        self._presence = presence
        self._there = there
        self._seen = {}
        self._seen_s = {}
        self._started_s = trio.current_time()

    def others(self):
        """
        List the other gateways, whether or not they take new callers.

        Returns
        -------
        list of EntryPresence
        """
        now = trio.current_time()
        there = self._there()
        self._seen.update(there)
        self._seen_s.update(dict.fromkeys(there, now))
        for name, seen_s in list(self._seen_s.items()):
            if now - seen_s > _KEPT_S:
                del self._seen[name], self._seen_s[name]
        own = self._presence().name
        return [entry for name, entry in self._seen.items() if name != own]

    def find(self, name):
        """
        Find another gateway.

        Parameters
        ----------
        name : str

        Returns
        -------
        EntryPresence or None
            None if this gateway was not told of it lately.
        """
        return next((entry for entry in self.others() if entry.name == name), None)

    def may_be_new(self, name):
        """
        Tell whether there may be a gateway that this one was not told of yet.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
            True only for a while after the start, and until the first other one is
            told of.
        """
        is_early = trio.current_time() - self._started_s < _UNTOLD_S
        is_other = type(name) is str and name != self._presence().name
        return is_early and is_other and not self.others()
