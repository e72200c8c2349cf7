"""Finds out whether a server has ended."""

from collections import OrderedDict

import trio

__all__ = ["ServerEnds", "life_of"]

_LOOK_AGAIN_S = 0.05
"""A process that ends may close its connections before it stops listening."""
_MOST_KEPT = 256
_NEXT_LIFE = "+"
"""Appended to the name of a life for the one that follows it, if that is unknown."""


def life_of(server):
    """
    Name the life of a server: the same for all gateways, another one after a restart.

    Parameters
    ----------
    server : Server

    Returns
    -------
    str
    """
    return f"{server.entry.id}/{server.entry.born_ms}"


class ServerEnds:
    """
    Asks servers whether anybody still listens.

    A server that has ended refuses connections. One that cuts some of them off, that is
    frozen or that can't be reached does not.

    Parameters
    ----------
    client : HttpClient
    """

    __slots__ = ("_client", "_ended", "_looks")

    def __init__(self, client):
        self._client = client
        self._ended = OrderedDict()
        self._looks = {}

    def life_at(self, server, sent_s):
        """
        Name the life of a server that a request reached.

        Parameters
        ----------
        server : Server
        sent_s : float
            When the request was sent, on trio's clock.

        Returns
        -------
        str
            Another one than `life_of` if that life had ended before: a server that has
            started again is reached before it has announced itself.
        """
        life = life_of(server)
        while sent_s > self._ended.get(life, sent_s):
            life += _NEXT_LIFE
        return life

    async def has_ended(self, server, sent_s):
        """
        Tell whether the life of a server that a request reached is over.

        Parameters
        ----------
        server : Server
        sent_s : float
            When the request was sent, on trio's clock.

        Returns
        -------
        bool
            False also if that can't be told.
        """
        life = self.life_at(server, sent_s)
        while life not in self._ended:
            look = self._looks.get(life)
            if look is None:
                return await self._look(life, server.address)
            # Many requests break at once where a server ends, or cuts them off.
            await look.over.wait()
            if look.is_refused is not None:
                return look.is_refused
        return True

    async def _look(self, life, address):
        look = self._looks[life] = _Look()
        try:
            is_refused = await self._client.is_refused(address)
            if not is_refused:
                await trio.sleep(_LOOK_AGAIN_S)
                # The server may end under a request that breaks only after this.
                del self._looks[life]
                is_refused = await self._client.is_refused(address)
            if is_refused:
                self._ended[life] = trio.current_time()
                if len(self._ended) > _MOST_KEPT:
                    self._ended.popitem(last=False)
            look.is_refused = is_refused
            return is_refused
        finally:
            if self._looks.get(life) is look:
                del self._looks[life]
            look.over.set()


class _Look:
    """
    One for all requests that broke at a server before its last connection was tried.

    Attributes
    ----------
    over : trio.Event
    is_refused : bool or None
        None until it is over, and if it was cancelled.
    """

    __slots__ = ("over", "is_refused")

    def __init__(self):
        self.over = trio.Event()
        self.is_refused = None
