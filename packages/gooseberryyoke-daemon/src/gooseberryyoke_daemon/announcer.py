"""Sends numbered announcements to other processes of the system."""

from trio import Event, move_on_after, open_nursery

from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import WireError

__all__ = ["Announcer"]

_OK = 200
_TIMEOUT_INTERVALS = 2


class Announcer:
    """
    Announces at intervals, and at once when something changes.

    Parameters
    ----------
    client : HttpClient
        Signs what it sends.
    addresses : list of Address
        Whom to tell.
    path : str
    interval_s : float
        Between two announcements to one process, in seconds.
    make : callable
        Makes the announcement with a given sequence number.
    on_reply : callable, optional
        Takes the JSON object that came back.
    """

    def __init__(self, client, addresses, path, interval_s, make, on_reply=None):
        self._client = client
        self._addresses = addresses
        self._path = path
        self._interval_s = interval_s
        self._make = make
        self._on_reply = on_reply
        self._sequence = 0
        self._changed = Event()

    def notify(self):
        """Announce to all without waiting for the interval's end."""
        self._changed.set()
        self._changed = Event()

    async def run(self):
        """Announce until cancelled; to each on its own, as one may be silent."""
        async with open_nursery() as nursery:
            for address in self._addresses:
                nursery.start_soon(self._run_one, address)

    async def _run_one(self, address):
        heard = None
        while True:
            changed = self._changed
            was, heard = heard, await self._announce(address)
            if was != heard:
                log_event("announced", peer=str(address), heard=heard)
            with move_on_after(self._interval_s):
                await changed.wait()

    async def _announce(self, address):
        self._sequence += 1
        try:
            reply = await self._client.json(
                "POST",
                address,
                self._path,
                self._make(self._sequence).to_json(),
                timeout_s=_TIMEOUT_INTERVALS * self._interval_s,
                repeatable=True,
            )
        except WireError:
            return False
        if reply.status != _OK:
            return False
        if self._on_reply is not None:
            self._on_reply(reply.payload)
        return True
