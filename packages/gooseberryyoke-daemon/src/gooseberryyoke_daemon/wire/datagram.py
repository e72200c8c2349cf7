"""Datagrams between the system's own processes."""

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

    __slots__ = ("_address", "_socket")

    def __init__(self, address):
        self._address = address
        self._socket = None

    async def open(self):
        """Bind the address."""
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
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
        await self._socket.sendto(data, (address.host, address.port))

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
        data, _ = await self._socket.recvfrom(_LONGEST_BYTES)
        return data

    def close(self):
        """Give the address up."""
        if self._socket is not None:
            self._socket.close()
