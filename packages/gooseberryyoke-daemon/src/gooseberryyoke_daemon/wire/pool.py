"""Connections kept for the next exchange."""

import h11
import trio

from gooseberryyoke_daemon.wire.network import has_pending_input

__all__ = ["Pool"]


class Pool:
    """
    Idle connections by address, the one used last first.

    Parameters
    ----------
    limits : Limits
        How many are kept, and for how long.
    """

    def __init__(self, limits):
        self._limits = limits
        self._idle = {}

    async def take(self, address):
        """
        Take a connection that still seems open.

        Parameters
        ----------
        address : Address
            Of the server.

        Returns
        -------
        Channel or None
        """
        idle = self._idle.get(address, [])
        while idle:
            channel = idle.pop()
            aged_s = trio.current_time() - channel.idle_since_s
            # Input on an idle connection is its end or a notice of it.
            if aged_s < self._limits.pool_idle_s and not has_pending_input(
                channel.stream
            ):
                return channel
            await trio.aclose_forcefully(channel.stream)
        self._idle.pop(address, None)
        return None

    async def put(self, address, channel):
        """
        Keep a connection after a whole exchange, or let it go.

        Parameters
        ----------
        address : Address
            Of the server.
        channel : Channel
            With both directions done.
        """
        conn = channel.conn
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        idle = self._idle.setdefault(address, [])
        if not done or len(idle) >= self._limits.pool_connections:
            await trio.aclose_forcefully(channel.stream)
            return
        conn.start_next_cycle()
        channel.idle_since_s = trio.current_time()
        idle.append(channel)

    async def forget(self, address):
        """
        Close the kept connections to an address.

        Parameters
        ----------
        address : Address
            Of a server that didn't answer in time. What has lost one connection's
            state has often lost that of all to the same server; tried one after
            another, each of them would cost a timeout.
        """
        for channel in self._idle.pop(address, []):
            await trio.aclose_forcefully(channel.stream)

    async def aclose(self):
        """Close all kept connections."""
        for idle in self._idle.values():
            for channel in idle:
                await trio.aclose_forcefully(channel.stream)
        self._idle.clear()
