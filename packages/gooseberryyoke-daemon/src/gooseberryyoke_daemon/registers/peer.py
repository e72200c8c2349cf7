"""A replica as its clients see it over HTTP."""

import trio

from gooseberryyoke.register import UndecodableRecord, decode, encode
from gooseberryyoke_daemon.registers.exceptions import PeerFailed
from gooseberryyoke_daemon.wire import WireError

__all__ = ["REGISTER_PATH", "HttpPeer"]

REGISTER_PATH = "/internal/register"

_OK = 200
_DEFAULT_TIMEOUT_S = 2.0
_DEFAULT_CALLS = 64


class HttpPeer:
    """
    Calls a replica over HTTP.

    Parameters
    ----------
    client : HttpClient
        Signs its requests.
    address : Address
        Of the replica's process.
    timeout_s : float
        For one call.
    max_calls : int
        Calls in flight at once; more are refused, so that a silent replica does
        not gather tasks.
    """

    def __init__(
        self, client, address, timeout_s=_DEFAULT_TIMEOUT_S, max_calls=_DEFAULT_CALLS
    ):
        self.address = address
        self._client = client
        self._timeout_s = timeout_s
        self._calls = trio.CapacityLimiter(max_calls)

    async def call(self, message):
        """
        Send a message and wait for the reply.

        Parameters
        ----------
        message : Record
            A request of `gooseberryyoke.register.messages`; all may be repeated.

        Returns
        -------
        Record

        Raises
        ------
        PeerFailed
            If no usable reply came in time.
        """
        try:
            self._calls.acquire_nowait()
        except trio.WouldBlock as exc:
            raise PeerFailed(f"{self.address} has too many calls in flight") from exc
        try:
            return await self._exchange(message)
        finally:
            self._calls.release()

    async def _exchange(self, message):
        try:
            reply = await self._client.json(
                "POST",
                self.address,
                REGISTER_PATH,
                encode(message),
                timeout_s=self._timeout_s,
                repeatable=True,
            )
            if reply.status != _OK:
                raise PeerFailed(f"{self.address} replied with {reply.status}")
            return decode(reply.payload)
        except (WireError, UndecodableRecord) as exc:
            raise PeerFailed(f"{self.address}: {exc}") from exc
