"""Index of the prompt prefixes cached by backend servers."""

from collections import OrderedDict

__all__ = ["PrefixIndex"]

MAX_DIGESTS = 20_000
MAX_HOLDERS = 8
SUFFICIENT_HOLDERS = 4


class PrefixIndex:
    """
    Best-effort index of the prompt prefixes cached by backend servers.

    Cache events arrive late and some are lost, so the index may be wrong. A wrong
    entry costs one prefill and is dropped when the server's answer shows that
    the prefix was not cached.

    Parameters
    ----------
    max_digests : int
        Maximum number of digests; the least recently used are evicted first.
    max_holders : int
        Maximum number of servers per digest; the oldest are evicted first.
    """

    __slots__ = ("max_digests", "max_holders", "_holders", "_generations")

    def __init__(self, max_digests=MAX_DIGESTS, max_holders=MAX_HOLDERS):
        self.max_digests = max_digests
        self.max_holders = max_holders
        self._holders = OrderedDict()
        self._generations = {}

    def __len__(self):
        return len(self._holders)

    def stored(self, server_id, digests):
        """
        Record that a server has cached prefixes.

        Parameters
        ----------
        server_id : str
        digests : iterable of int
        """
        generation = self._generations.get(server_id, 0)
        for digest in digests:
            holders = self._holders.get(digest)
            if holders is None:
                self._holders[digest] = {server_id: generation}
                continue
            self._holders.move_to_end(digest)
            holders.pop(server_id, None)
            holders[server_id] = generation
            if len(holders) > self.max_holders:
                del holders[next(iter(holders))]
        while len(self._holders) > self.max_digests:
            self._holders.popitem(last=False)

    def evicted(self, server_id, digests):
        """
        Record that a server no longer caches prefixes.

        Parameters
        ----------
        server_id : str
        digests : iterable of int
        """
        for digest in digests:
            holders = self._holders.get(digest)
            if holders is not None:
                holders.pop(server_id, None)
                if not holders:
                    del self._holders[digest]

    def forget(self, server_id):
        """
        Drop all entries of a server, in constant time.

        Parameters
        ----------
        server_id : str
        """
        self._generations[server_id] = self._generations.get(server_id, 0) + 1

    def matches(self, digests):
        """
        Find the servers that cache the longest prefixes of a prompt.

        Parameters
        ----------
        digests : sequence of int
            Digests of a prompt, shortest prefix first.

        Returns
        -------
        dict of str to int
            Number of cached blocks by server.
        """
        found = {}
        for blocks in range(len(digests), 0, -1):
            for server_id, generation in self._holders.get(
                digests[blocks - 1], {}
            ).items():
                if (
                    server_id not in found
                    and self._generations.get(server_id, 0) == generation
                ):
                    found[server_id] = blocks
            if len(found) >= SUFFICIENT_HOLDERS:
                break
        return found
