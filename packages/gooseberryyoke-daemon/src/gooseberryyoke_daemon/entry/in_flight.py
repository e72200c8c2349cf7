"""The attempts that an entry waits for, by backend server."""

from collections import defaultdict

__all__ = ["InFlight"]


class InFlight:
    """Numbers of attempts by the name of their server."""

    __slots__ = ("_by_server",)

    def __init__(self):
        self._by_server = defaultdict(set)

    def add(self, server, attempt):
        """Note an attempt."""
        self._by_server[server].add(attempt)

    def discard(self, server, attempt):
        """Note that nobody waits for it any more."""
        self._by_server[server].discard(attempt)
        if not self._by_server[server]:
            del self._by_server[server]

    def at(self, server):
        """
        List the attempts at a server.

        Returns
        -------
        list of str
        """
        return sorted(self._by_server.get(server, ()))
