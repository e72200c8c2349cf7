"""Asks the backend server for its load, so that announcements can carry it."""

from trio import sleep

from gooseberryyoke.membership import find_report_error
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import WireError

__all__ = ["Reporter"]

_OK = 200


class Reporter:
    """
    Keeps the latest load report of a backend server.

    Parameters
    ----------
    client : HttpClient
    address : Address
        Of the backend server.
    path : str or None
        Where it reports load. Without one the server is taken for reachable; the
        entries learn of failures from their attempts.
    interval_s : float
        Between two requests, in seconds.
    clock : Clock

    Attributes
    ----------
    report : dict
        The latest report, empty before the first.
    """

    def __init__(self, client, address, path, interval_s, clock):
        self.report = {}
        self._reported_leaving = False
        self._answered_leaving = False
        self.reachable = path is None
        self._client = client
        self._address = address
        self._path = path
        self._interval_s = interval_s
        self._clock = clock
        self._taken_s = clock.now()

    @property
    def leaving(self):
        """Whether the server has said, by a report or an answer, that it leaves."""
        return self._reported_leaving or self._answered_leaving

    @property
    def age_s(self):
        """Age of the report, in seconds."""
        return self._clock.now() - self._taken_s

    def heard_leaving(self):
        """
        Note that the server has said in an answer that it leaves.

        That holds until it can't be reached, as its life has ended. A server without
        reports is left to its own end: nothing would tell when another life begins.
        """
        self._answered_leaving = self._path is not None

    async def run(self, on_change):
        """
        Poll until cancelled.

        Parameters
        ----------
        on_change : callable
            Called when the server starts or stops taking new work.
        """
        while self._path is not None:
            before = (self.reachable, self.leaving)
            await self._poll()
            if (self.reachable, self.leaving) != before:
                log_event(
                    "server-state", reachable=self.reachable, leaving=self.leaving
                )
                on_change()
            await sleep(self._interval_s)

    async def _poll(self):
        try:
            reply = await self._client.json(
                "GET", self._address, self._path, timeout_s=self._interval_s * 4
            )
        except WireError:
            self.reachable = self._answered_leaving = False
            return
        # Entries refuse an announcement whose report is malformed. The server
        # would seem silent; told as unreachable it shows in log and metrics.
        self.reachable = (
            reply.status == _OK
            and isinstance(reply.payload, dict)
            and find_report_error(reply.payload) is None
        )
        if self.reachable:
            self.report = reply.payload
            self._reported_leaving = bool(reply.payload.get("leaving", False))
            self._taken_s = self._clock.now()
