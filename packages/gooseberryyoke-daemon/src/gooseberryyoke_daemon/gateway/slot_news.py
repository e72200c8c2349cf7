"""Announcements of requests that take scarce slots, sent between regular reports."""

import trio

from gooseberryyoke.placement import MAX_ANNOUNCED_SERVERS, AnnouncedStarts, SlotChanges

__all__ = ["SlotNews"]

_GAP_S = 0.02
"""Between two announcements. Bounds their number where servers refuse at once what they
are sent; requests that begin meanwhile are announced together."""


class SlotNews:
    """
    What this gateway announces of shared slots, and what others have announced.

    Attributes
    ----------
    heard : AnnouncedStarts
    """

    __slots__ = ("heard", "_changes", "_unsent", "_wanted")

    def __init__(self):
        self.heard = AnnouncedStarts()
        self._changes = SlotChanges()
        self._unsent = {}
        self._wanted = trio.Event()

    def began(self, server, own, is_tight):
        """
        Note that an own request was sent.

        Parameters
        ----------
        server : str
        own : int
            Requests that this gateway has there now.
        is_tight : bool
            Whether others may send to the same slot before the next report.

        Returns
        -------
        bool
            Whether it is announced.
        """
        self._changes.record_change(server)
        if not (is_tight and self._changes.needs_announcement(server, own)):
            return False
        self._changes.record_announced(server, own)
        self._unsent[server] = own
        self._wanted.set()
        return True

    def ended(self, server):
        """
        Note that an own request is over.

        Parameters
        ----------
        server : str
        """
        self._changes.record_change(server)

    def report(self, counts):
        """See `SlotChanges.report`."""
        return self._changes.report(counts)

    async def run(self, send):
        """
        Announce until cancelled.

        Parameters
        ----------
        send : callable
            Asynchronous; takes own requests by server.
        """
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            unsent, self._unsent = list(self._unsent.items()), {}
            for first in range(0, len(unsent), MAX_ANNOUNCED_SERVERS):
                await send(dict(unsent[first : first + MAX_ANNOUNCED_SERVERS]))
            await trio.sleep(_GAP_S)
