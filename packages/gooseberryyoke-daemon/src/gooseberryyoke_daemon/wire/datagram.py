"""Datagrams between the system's own processes."""

import select
import socket

import trio

__all__ = ["UdpEndpoint"]

_LONGEST_BYTES = 8 * 1024


class UdpEndpoint:
    """
    Sends and receives datagrams at one address.

    Parameters
    ----------
    address : Address
        Of this process.
    """

    __slots__ = ("_address", "_plain", "_socket")

    def __init__(self, address):
        self._address = address
        self._plain = None
        self._socket = None

    async def open(self):
        """Bind the address."""
        self._plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket = trio.socket.from_stdlib_socket(self._plain)
        await self._socket.bind((self._address.host, self._address.port))

    async def send(self, address, data):
        """
        Send a datagram; it may be lost.

        Parameters
        ----------
        address : Address
        data : bytes

        Raises
        ------
        OSError
        """
        target = address.host, address.port
        if not _is_number(address.host):
            await self._socket.sendto(data, target)
            return
        # trio looks each address up, also an IP number, which takes as long as all
        # else in sending.
        await trio.lowlevel.checkpoint()
        while True:
            try:
                self._plain.sendto(data, target)
                return
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._plain)

    async def receive(self):
        """
        Wait for a datagram.

        Returns
        -------
        bytes

        Raises
        ------
        OSError
            Also for an earlier datagram that reached nobody.
        """
        await trio.lowlevel.checkpoint()
        while True:
            try:
                # Returned at once, so that `has_unread` misses none that is not used.
                return self._plain.recv(_LONGEST_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._plain)

    def has_unread(self):
        """
        Tell whether a datagram has arrived that `receive` has not returned.

        Returns
        -------
        bool
            False while the address is not bound.
        """
        if self._plain is None or self._plain.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._plain, select.POLLIN)
        return bool(poll.poll(0))

    def close(self):
        """Give the address up."""
        if self._socket is not None:
            self._socket.close()


def _is_number(host):
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True
