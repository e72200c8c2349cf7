"""Connections over TCP, with TLS where a context is given."""

import socket
import struct

import trio

from gooseberryyoke_daemon.wire.address import Address
from gooseberryyoke_daemon.wire.datagram import UdpEndpoint

__all__ = [
    "TcpNetwork",
    "has_pending_input",
    "has_tls",
    "listener_address",
    "set_reset_on_close",
]

_LINGER = struct.Struct("ii")
"""On or off, and for how many seconds a close waits for what was not sent."""


class TcpNetwork:
    """
    The network of the machine.

    Parameters
    ----------
    server_ssl : ssl.SSLContext, optional
        TLS for what listens.
    client_ssl : ssl.SSLContext, optional
        TLS for what connects.
    """

    def __init__(self, server_ssl=None, client_ssl=None):
        self._server_ssl = server_ssl
        self._client_ssl = client_ssl

    async def connect(self, address):
        """
        Open a connection.

        Parameters
        ----------
        address : Address
            The listening process.

        Returns
        -------
        trio.abc.Stream

        Raises
        ------
        OSError
            If it can't be had.
        """
        stream = await trio.open_tcp_stream(address.host, address.port)
        if self._client_ssl is None:
            return stream
        return trio.SSLStream(
            stream,
            self._client_ssl,
            server_hostname=address.host,
            https_compatible=True,
        )

    def datagrams(self, address):
        """
        Make an endpoint for datagrams.

        Parameters
        ----------
        address : Address
            Of this process.

        Returns
        -------
        UdpEndpoint
        """
        return UdpEndpoint(address)

    async def listen(self, address):
        """
        Listen at an address.

        Parameters
        ----------
        address : Address
            Port 0 takes any free one, see `listener_address`.

        Returns
        -------
        list of trio.abc.Listener

        Raises
        ------
        OSError
            If the address is taken or not of this machine.
        """
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        if self._server_ssl is None:
            return listeners
        return [
            trio.SSLListener(listener, self._server_ssl, https_compatible=True)
            for listener in listeners
        ]


def listener_address(listener):
    """
    Tell where a listener listens.

    Parameters
    ----------
    listener : trio.abc.Listener
        Of any network here.

    Returns
    -------
    Address
    """
    if hasattr(listener, "address"):
        return listener.address
    listener = getattr(listener, "transport_listener", listener)
    host, port = listener.socket.getsockname()[:2]
    return Address(host, port)


def has_pending_input(stream):
    """
    Tell whether a read would return at once, without reading.

    Parameters
    ----------
    stream : trio.abc.Stream
        Of any network here.

    Returns
    -------
    bool
        True also if the peer has closed.
    """
    stream = getattr(stream, "transport_stream", stream)
    if hasattr(stream, "socket"):
        return stream.socket.is_readable()
    return stream.is_readable()


def has_tls(stream):
    """
    Tell whether a stream is encrypted, so that its end needs a close_notify.

    Parameters
    ----------
    stream : trio.abc.Stream
        Of any network here.

    Returns
    -------
    bool
    """
    return isinstance(stream, trio.SSLStream)


def set_reset_on_close(stream, is_on):
    """
    Have the close of a stream reset its connection instead of ending it.

    It holds for the close by the kernel too, when the process is killed.

    Parameters
    ----------
    stream : trio.abc.Stream
        Of any network here.
    is_on : bool
    """
    stream = getattr(stream, "transport_stream", stream)
    if hasattr(stream, "socket"):
        option = _LINGER.pack(is_on, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    else:
        stream.resets_on_close = is_on
