"""A replica as its clients see it over HTTP."""

import orjson
import trio

from gooseberryyoke.register import decode, encode
from gooseberryyoke_daemon.registers.exceptions import PeerFailed
from gooseberryyoke_daemon.wire import WireError

__all__ = ["REGISTER_PATH", "HttpPeer"]

REGISTER_PATH = "/internal/register"

_OK = 200
_DEFAULT_TIMEOUT_S = 2.0
_DEFAULT_WAITING = 256
_IN_FLIGHT = 2
_BATCH = 64
_BATCH_BYTES = 2**20


class _Call:
    """A message that waits for its reply."""

    __slots__ = ("packed", "reply", "failure")

    def __init__(self, message):
        self.packed = orjson.dumps(encode(message))
        self.reply = None
        self.failure = None

    @property
    def is_over(self):
        return self.reply is not None or self.failure is not None


class HttpPeer:
    """
    Calls a replica over HTTP.

    Messages that come up while requests are in flight travel together in the
    next one: an exchange costs far more than a message in it.

    Parameters
    ----------
    client : HttpClient
        Signs its requests.
    address : Address
        Of the replica's process.
    timeout_s : float
        For one request.
    max_waiting : int
        Messages without a reply; more are refused, so that a silent replica
        does not gather tasks.
    path : str
        Under which the replica is served.
    """

    def __init__(
        self,
        client,
        address,
        timeout_s=_DEFAULT_TIMEOUT_S,
        max_waiting=_DEFAULT_WAITING,
        path=REGISTER_PATH,
    ):
        self.address = address
        self._path = path
        self._client = client
        self._timeout_s = timeout_s
        self._max_waiting = max_waiting
        self._waiting = 0
        self._queue = []
        self._in_flight = 0
        self._landed = trio.Event()

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
        if self._waiting >= self._max_waiting:
            raise PeerFailed(f"{self._waiting} messages wait for {self.address}")
        call = _Call(message)
        self._queue.append(call)
        self._waiting += 1
        try:
            await self._wait_for(call)
        finally:
            self._waiting -= 1
            if call in self._queue:
                self._queue.remove(call)
        if call.failure is not None:
            raise PeerFailed(call.failure)
        return call.reply

    async def _wait_for(self, call):
        while not call.is_over:
            if self._queue and self._in_flight < _IN_FLIGHT:
                await self._send_batch()
            else:
                await self._landed.wait()

    async def _send_batch(self):
        batch = self._take_batch()
        self._in_flight += 1
        failure = f"a request to {self.address} was cancelled"
        try:
            replies = await self._exchange([call.packed for call in batch])
            for call, reply in zip(batch, replies, strict=True):
                call.reply = reply
        except (PeerFailed, ValueError) as exc:
            failure = str(exc)
        finally:
            # Whoever sends may be cancelled; the others in the batch must not
            # wait for a reply that nobody takes.
            for call in batch:
                if call.reply is None:
                    call.failure = failure
            self._in_flight -= 1
            self._landed.set()
            self._landed = trio.Event()

    def _take_batch(self):
        """Take what fits into one request; a bundle's text may fill one alone."""
        batch, size = [], 0
        while self._queue and len(batch) < _BATCH:
            size += len(self._queue[0].packed)
            if batch and size > _BATCH_BYTES:
                break
            batch.append(self._queue.pop(0))
        return batch

    async def _exchange(self, packed):
        try:
            reply = await self._client.json(
                "POST",
                self.address,
                self._path,
                [orjson.Fragment(item) for item in packed],
                timeout_s=self._timeout_s,
                repeatable=True,
            )
        except WireError as exc:
            raise PeerFailed(f"{self.address}: {exc}") from exc
        if reply.status != _OK or not isinstance(reply.payload, list):
            raise PeerFailed(f"{self.address} replied with {reply.status}")
        return [decode(item) for item in reply.payload]
