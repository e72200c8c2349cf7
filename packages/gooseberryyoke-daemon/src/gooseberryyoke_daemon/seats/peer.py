"""The replica that holds a seat now, wherever it is."""

from gooseberryyoke_daemon.registers import HttpPeer, PeerFailed
from gooseberryyoke_daemon.wire import Address

__all__ = ["SeatPeer", "SeatPeers"]

_CALL_TIMEOUT_S = 0.5
"""Well below the time for an operation on a register, so that a connection that
has gone silent is given up and the call made again within it."""


class SeatPeers:
    """
    Ways to the holders of all seats.

    Parameters
    ----------
    seats : SeatMap
        Read at each call.
    client : HttpClient
        For calls to other processes.

    Attributes
    ----------
    own : Replica or None
        Of this process; called without the network.
    """

    __slots__ = ("seats", "own", "_client", "_by_address")

    def __init__(self, seats, client):
        self.seats = seats
        self.own = None
        self._client = client
        self._by_address = {}

    def by_seat(self):
        """
        Give a peer for each seat that is known.

        Returns
        -------
        dict of str to SeatPeer
        """
        return {seat: SeatPeer(seat, self) for seat in self.seats.holders}

    def at(self, address):
        """
        Give the peer at an address.

        Parameters
        ----------
        address : str

        Returns
        -------
        HttpPeer
        """
        peer = self._by_address.get(address)
        if peer is None:
            target = Address.parse(address)
            peer = HttpPeer(self._client, target, _CALL_TIMEOUT_S)
            self._by_address[address] = peer
        return peer


class SeatPeer:
    """
    A seat as a peer of `RegisterClient` and `Replica`.

    Parameters
    ----------
    seat : str
    peers : SeatPeers
    """

    __slots__ = ("_seat", "_peers")

    def __init__(self, seat, peers):
        self._seat = seat
        self._peers = peers

    async def call(self, message):
        """
        Call whoever holds the seat now; see `HttpPeer.call`.

        Parameters
        ----------
        message : Record

        Returns
        -------
        Record

        Raises
        ------
        PeerFailed
        """
        own = self._peers.own
        if own is not None and own.seat == self._seat:
            return await own.call(message)
        holder = self._peers.seats.holders.get(self._seat)
        if holder is None or holder.is_vacant:
            raise PeerFailed(f"no holder of seat {self._seat} is known")
        reply = await self._peers.at(holder.address).call(message)
        if reply.sender.seat != self._seat:
            # The process there has left the seat and taken another since. Counted for
            # both, one replica's vote would stand for two.
            raise PeerFailed(f"{holder.address} holds seat {reply.sender.seat} by now")
        return reply
