"""Engines that end on one part of a prompt or on single requests."""

from collections import defaultdict
from contextlib import aclosing

import trio

from gooseberryyoke.crash import shared_parts
from gooseberryyoke_daemon.wire import BodyCut, Response
from gooseberryyoke_platform.names import HEADERS
from tools.soak.engine import SIGNATURE, Engine

__all__ = ["HARMFUL", "CrashingEngine", "harmful_path", "stream_body"]

HARMFUL = "dead"
"""The part of a prompt on which engines end."""
_HARMFUL_NAME = "harmful"
_READ_S = (0.05, 0.3)
"""From the arrival of a request until its engine begins to write."""
_EVENTS = 12
_EVENT_S = 0.06
"""A stream lasts longer than it takes to prove the parts of its prompt."""
_DOWN_S = (1.0, 4.0)
_UNFRAMED_PART = 0.4
_BROKEN_PART = 0.1
_WITHIN_EVENT_PART = 0.5
"""Of the broken streams; the others are broken off between two events."""
_LACKING_BYTES = 5
_OK = 200


def harmful_path(kind, number, events):
    """
    Make the path of a request on which engines end.

    Parameters
    ----------
    kind : str
        Of the route.
    number : int
    events : int
        That an engine gives before it ends; for plain requests 0.

    Returns
    -------
    str
    """
    return f"/{kind}/{_HARMFUL_NAME}-{number}-{events}"


def _harmful_after(path):
    """Give the events before an engine ends on a request, None for a sound one."""
    name, *numbers = path.rpartition("/")[2].split("-")
    return int(numbers[-1]) if name == _HARMFUL_NAME else None


def stream_body(path):
    """
    Give the whole stream that answers a request.

    Parameters
    ----------
    path : str
        Of the request; the stream of no other one is the same.

    Returns
    -------
    bytes
    """
    return b"".join(_event(path, number) for number in range(1, _EVENTS + 1))


def _event(path, number):
    return b"id: %d\ndata: %s\n\n" % (number, path.encode())


class CrashingEngine(Engine):
    """
    Listens in lives of its own, each of which ends like a process.

    An ended engine closes its connections, refuses new ones, and comes back after a
    while as a new life. Streams have chunks or neither length nor chunks; some are
    broken off, those without framing by a reset or within an event, as nothing else
    tells their end.

    Attributes
    ----------
    harmful_arrivals, harmful_ends : list of float
        When requests with `HARMFUL` arrived, and when lives ended for them.
    request_arrivals, request_ends : dict of str to list of float
        The same for each harmful request, by path.
    is_calm : bool
        Whether answers have chunks and are whole.
    """

    def __init__(self, id, zone, address, rng):
        super().__init__(id, zone, address, rng)
        self.harmful_arrivals = []
        self.harmful_ends = []
        self.request_arrivals = defaultdict(list)
        self.request_ends = defaultdict(list)
        self.is_calm = False
        self._life = trio.CancelScope()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Live, end and come back until cancelled."""
        while True:
            with self._life:
                await super().run(task_status)
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(self._rng.uniform(*_DOWN_S))
            self._life = trio.CancelScope()
            self.return_cold(0)
            self.is_up = True

    def end(self):
        """End the present life at once."""
        self.is_up = False
        self._life.cancel()

    async def serve(self, request):
        """Note a request; end on it, or answer it."""
        parts = shared_parts(request.header(HEADERS.prompt_parts))
        if HARMFUL in parts:
            self.harmful_arrivals.append(trio.current_time())
            await trio.sleep(self._rng.uniform(*_READ_S))
            await self._end_for(self.harmful_ends)
        harmful_after = _harmful_after(request.path)
        if harmful_after is not None:
            self.request_arrivals[request.path].append(trio.current_time())
            return await self._serve_harmful(request, harmful_after)
        if request.path.startswith("/read/"):
            return await super().serve(request)
        after = int(request.header("last-event-id", 0))
        is_unframed = not self.is_calm and self._rng.random() < _UNFRAMED_PART
        is_broken = not self.is_calm and self._rng.random() < _BROKEN_PART
        events = self._events(request.path, after)
        # Only the end may be left to tell.
        if is_broken and after < _EVENTS:
            last = self._rng.randint(after + 1, _EVENTS)
            events = self._broken(request.path, after, last, is_unframed)
        headers = [SIGNATURE, ("content-type", "text/event-stream")]
        return Response(_OK, headers, events, until_close=is_unframed)

    async def _serve_harmful(self, request, events):
        ends_s = self.request_ends[request.path]
        if not events:
            await trio.sleep(self._rng.uniform(*_READ_S))
            await self._end_for(ends_s)
        after = int(request.header("last-event-id", 0))
        headers = [SIGNATURE, ("content-type", "text/event-stream")]
        body = self._events_before_end(request.path, after, events, ends_s)
        return Response(_OK, headers, body)

    async def _events_before_end(self, path, after, count, ends_s):
        async with aclosing(self._events(path, after, after + count)) as events:
            async for event in events:
                yield event
        await self._end_for(ends_s)

    async def _end_for(self, ends_s):
        if not self._life.cancel_called:
            ends_s.append(trio.current_time())
            self.end()
        await trio.sleep_forever()

    async def _events(self, path, after, until=_EVENTS):
        await trio.sleep(self._rng.uniform(*_READ_S))
        for number in range(after + 1, until + 1):
            yield _event(path, number)
            await trio.sleep(_EVENT_S)

    async def _broken(self, path, after, last, is_unframed):
        async with aclosing(self._events(path, after, last - 1)) as events:
            async for event in events:
                yield event
        if self._rng.random() < _WITHIN_EVENT_PART:
            yield _event(path, last)[:-_LACKING_BYTES]
            if is_unframed:
                return
        raise BodyCut("broken off")
