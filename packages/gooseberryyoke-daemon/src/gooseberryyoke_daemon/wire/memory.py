"""A network in memory, for tests under trio's mock clock."""

import errno
from contextlib import suppress

import trio

from gooseberryyoke_daemon.wire.address import Address
from gooseberryyoke_daemon.wire.memory_stream import MemoryStream, Pipe

__all__ = ["MemoryEndpoint", "MemoryHost", "MemoryListener", "MemoryNetwork"]

_FIRST_EPHEMERAL_PORT = 49152
_DEFAULT_HOST = "outside"
_DATAGRAMS_HELD = 256


def _host_of(end):
    return end.host if isinstance(end, Address) else str(end)


class MemoryNetwork:
    """
    Hosts that reach each other in memory, with links that can fail.

    A link is named by the hosts at its ends. The network itself connects from
    the host ``outside``; `host` gives the view of another one.

    Parameters
    ----------
    latency_s : float
        One way, between any two hosts, unless `set_latency` says otherwise.

    Attributes
    ----------
    endpoints : dict of Address to MemoryEndpoint
        That receive datagrams.
    """

    def __init__(self, latency_s=0.0):
        self._latency_s = latency_s
        self._latencies_s = {}
        self._cuts = set()
        self._listeners = {}
        self._pipes = []
        self._changed = trio.lowlevel.ParkingLot()
        self._next_port = _FIRST_EPHEMERAL_PORT
        self.endpoints = {}

    def host(self, name):
        """
        Give the network as one host sees it.

        Parameters
        ----------
        name : str
            IP number of the host.

        Returns
        -------
        MemoryHost
        """
        return MemoryHost(self, name)

    async def connect(self, address):
        """Connect from the host ``outside``, see `MemoryHost.connect`."""
        return await self.connect_from(_DEFAULT_HOST, address)

    async def listen(self, address):
        """See `TcpNetwork.listen`."""
        if address.port == 0:
            address = Address(address.host, self._take_port())
        if address in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{address} is taken")
        listener = MemoryListener(address, self._listeners)
        self._listeners[address] = listener
        return [listener]

    async def connect_from(self, source, address):
        """
        Connect from a host; hangs while the link is cut, as a lost SYN does.

        Parameters
        ----------
        source : str
            Connecting host.
        address : Address
            Listening process.

        Returns
        -------
        MemoryStream

        Raises
        ------
        OSError
            If nothing listens there.
        """
        await trio.lowlevel.checkpoint()
        while self.is_cut(source, address.host) or self.is_cut(address.host, source):
            await self._changed.park()
        await trio.sleep(2 * self.latency_s(source, address.host))
        listener = self._listeners.get(address)
        if listener is None:
            raise OSError(errno.ECONNREFUSED, f"nothing listens at {address}")
        local = Address(source, self._take_port())
        there, back = Pipe(self, local, address), Pipe(self, address, local)
        self._pipes = [pipe for pipe in self._pipes if not pipe.is_done()]
        self._pipes += [there, back]
        listener.offer(MemoryStream(back, there))
        return MemoryStream(there, back)

    def cut(self, a, b, one_way=False):
        """
        Cut a link: bytes wait and new connections hang until `heal`.

        Parameters
        ----------
        a, b : str or Address
            Hosts at the ends.
        one_way : bool
            Cut only what goes from `a` to `b`.
        """
        self._cuts.add((_host_of(a), _host_of(b)))
        if not one_way:
            self._cuts.add((_host_of(b), _host_of(a)))

    def heal(self, a, b):
        """
        End a cut, both ways; what waited is delivered, as TCP sends it again.

        Parameters
        ----------
        a, b : str or Address
            Hosts at the ends.
        """
        self._cuts -= {(_host_of(a), _host_of(b)), (_host_of(b), _host_of(a))}
        self._changed.unpark_all()
        for pipe in self._pipes:
            pipe.wake()

    def silence(self, a, b, one_way=False):
        """
        Drop for good all bytes of the connections now open on a link.

        Neither end learns of it; connections opened later work.

        Parameters
        ----------
        a, b : str or Address
            Ends: a whole address names only its own connections.
        one_way : bool
            Drop only what goes from `a` to `b`.
        """
        for pipe in self._between(a, b, one_way):
            pipe.silence()

    def reset(self, a, b):
        """
        Break the connections now open on a link, at both ends.

        Parameters
        ----------
        a, b : str or Address
            Ends: a whole address names only its own connections.
        """
        for pipe in self._between(a, b, one_way=False):
            pipe.reset()

    def is_cut(self, source, destination):
        """
        Tell whether bytes from one host to another are held back.

        Parameters
        ----------
        source, destination : str
            Hosts.

        Returns
        -------
        bool
        """
        return (source, destination) in self._cuts

    def set_latency(self, a, b, latency_s):
        """
        Set the delay of a link, one way and the same both ways.

        Parameters
        ----------
        a, b : str
            Hosts at the ends.
        latency_s : float
            Seconds.
        """
        self._latencies_s[frozenset((a, b))] = latency_s

    def latency_s(self, source, destination):
        """
        Tell the delay of a link.

        Parameters
        ----------
        source, destination : str
            Hosts.

        Returns
        -------
        float
            Seconds, one way.
        """
        return self._latencies_s.get(frozenset((source, destination)), self._latency_s)

    def _between(self, a, b, one_way):
        ways = [(a, b)] if one_way else [(a, b), (b, a)]
        return [
            pipe
            for pipe in self._pipes
            if any(
                _is_end(source, pipe.source) and _is_end(target, pipe.destination)
                for source, target in ways
            )
        ]

    def _take_port(self):
        self._next_port += 1
        return self._next_port


def _is_end(end, address):
    return end == address if isinstance(end, Address) else end == address.host


class MemoryHost:
    """
    A network in memory as one of its hosts sees it.

    Parameters
    ----------
    network : MemoryNetwork
        The whole.
    name : str
        IP number of the host.
    """

    def __init__(self, network, name):
        self.network = network
        self.name = name

    async def connect(self, address):
        """See `MemoryNetwork.connect_from`."""
        return await self.network.connect_from(self.name, address)

    async def listen(self, address):
        """See `TcpNetwork.listen`."""
        return await self.network.listen(address)

    def datagrams(self, address):
        """See `TcpNetwork.datagrams`."""
        return MemoryEndpoint(self.network, address)


class MemoryEndpoint:
    """
    Sends and receives datagrams on a network in memory; see `UdpEndpoint`.

    Parameters
    ----------
    network : MemoryNetwork
    address : Address
        Of this end.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._waiting, self._arrived = trio.open_memory_channel(_DATAGRAMS_HELD)

    async def open(self):
        """Bind the address."""
        self._network.endpoints[self._address] = self
        await trio.lowlevel.checkpoint()

    async def send(self, address, data):
        """Send a datagram; it is lost if nobody receives, or on a link that is cut."""
        await trio.lowlevel.checkpoint()
        end = self._network.endpoints.get(address)
        if end is not None and not self._network.is_cut(
            self._address.host, address.host
        ):
            end.deliver(data)

    def deliver(self, data):
        """Hold a datagram for `receive`; lost if too many wait."""
        with suppress(trio.WouldBlock):
            self._waiting.send_nowait(data)

    async def receive(self):
        """Wait for a datagram."""
        return await self._arrived.receive()

    def has_unread(self):
        """See `UdpEndpoint.has_unread`."""
        return self._arrived.statistics().current_buffer_used > 0

    def close(self):
        """Give the address up."""
        self._network.endpoints.pop(self._address, None)


class MemoryListener(trio.abc.Listener):
    """
    Listens at an address of a network in memory.

    Parameters
    ----------
    address : Address
        Where.
    listeners : dict
        The network's listeners by address; closing takes this one out.
    """

    def __init__(self, address, listeners):
        self.address = address
        self._listeners = listeners
        self._waiting, self._accepted = trio.open_memory_channel(float("inf"))

    def offer(self, stream):
        """
        Queue a connection to be accepted.

        Parameters
        ----------
        stream : MemoryStream
            The listening side's end.
        """
        self._waiting.send_nowait(stream)

    async def accept(self):
        """Take the next connection."""
        return await self._accepted.receive()

    async def aclose(self):
        """Stop listening; what was not accepted is broken."""
        self._listeners.pop(self.address, None)
        while True:
            try:
                stream = self._accepted.receive_nowait()
            except (trio.WouldBlock, trio.ClosedResourceError):
                break
            stream.reset()
        self._accepted.close()
        await trio.lowlevel.checkpoint()
