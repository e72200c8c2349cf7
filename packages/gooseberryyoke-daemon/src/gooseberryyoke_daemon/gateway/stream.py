"""A stream of events on its way from servers to one caller."""

import trio

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.stream.events import EventSplitter
from gooseberryyoke_daemon.gateway.call import CallFailed
from gooseberryyoke_daemon.gateway.continuation import Continuation, NotContinued
from gooseberryyoke_daemon.gateway.quarantine import HELD_S
from gooseberryyoke_daemon.gateway.stream_buffer import StreamBuffer
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import BodyCut

__all__ = ["StreamRelay"]

_LONGEST_GAP_S = 1.8
"""Between two events. Callers leave after two seconds without one, and a group of
engines whose member is dead says so after one and a half."""
_HELD_UP_S = 0.5
"""For which a caller has taken nothing. Servers cut off answers that stay unread for
some seconds."""
_UNREAD_S = 1.0
"""For which a server was not read; after that it is not to blame for cutting off."""


class StreamRelay:
    """
    Passes whole events on, from a second server where the first one breaks off.

    Events are read when the caller has taken the ones before. Where it takes none for
    a while, `read_on` reads them into a `StreamBuffer` until the end of the stream.

    Parameters
    ----------
    relay : Relay
        Finds the server to go on at.
    exchange : Exchange
    call : Call
        Whose answer has begun.
    read_ahead : ReadAhead
        Has streams of slow callers read on.
    """

    __slots__ = (
        "_relay",
        "_exchange",
        "_call",
        "_splitter",
        "_continuation",
        "_held_from_s",
        "_has_held",
        "_until_close",
        "_ready",
        "_last_event_s",
        "_read_ahead",
        "_events",
        "_given_s",
        "_buffer",
        "_reading",
        "_is_read",
        "_is_closed",
    )

    def __init__(self, relay, exchange, call, read_ahead):
        self._read_ahead = read_ahead
        self._events = None
        self._given_s = None
        self._buffer = None
        self._reading = self._is_read = None
        self._is_closed = False
        self._relay = relay
        self._exchange = exchange
        self._call = call
        self._splitter = EventSplitter()
        self._continuation = Continuation()
        # When the call's answer has held; None before its first event.
        self._held_from_s = None
        self._has_held = False
        self._until_close = not call.framing.tells_end
        self._ready = []
        self._last_event_s = None

    async def start(self):
        """
        Wait for the first event, so that an answer without any can be made again.

        Raises
        ------
        CallFailed
        """
        self._ready = await self._next_events()

    def _may_be_empty(self):
        # A caller that has all events may ask for what follows them.
        is_continuation = self._exchange.request.header("last-event-id") is not None
        return is_continuation and self._call.framing.tells_end

    def __aiter__(self):
        """
        Give the events until the stream's end, in bytes.

        `BodyCut` is raised if no server goes on with it.
        """
        self._events = self._pass_events()
        return self._events

    async def aclose(self):
        """End the call, also if no event was asked for: the head could not be sent."""
        if self._events is not None:
            await self._events.aclose()
        await self._end()

    async def _pass_events(self):
        self._read_ahead.add(self)
        try:
            while self._ready:
                data = b"".join(event.data for event in self._ready)
                self._ready = []
                self._given_s = trio.current_time()
                yield data
                del data
                self._given_s = None
                self._ready = await self._next_ready()
            if self._splitter.rest:
                yield self._splitter.rest
            if self._held_from_s is not None:
                self._relay.note_held(self._exchange)
            self._call.server.health.succeeded()
            self._relay.note_answered(self._exchange, self._call)
        finally:
            self._read_ahead.remove(self)
            await self._end()

    async def _next_ready(self):
        if self._buffer is None:
            return await self._next_or_resumed()
        return await self._buffer.take()

    async def _end(self):
        self._relay.note_over(self._exchange)
        if self._buffer is not None:
            self._reading.cancel()
            with trio.CancelScope(shield=True):
                await self._is_read.wait()
            self._buffer.close()
        await self._close_call()

    async def _close_call(self):
        if self._call is not None and not self._is_closed:
            self._is_closed = True
            await self._call.close()

    def is_held_up(self, now):
        """
        Tell whether the caller has not taken the last events for a while.

        Parameters
        ----------
        now : float
            On trio's clock.

        Returns
        -------
        bool
            False once the stream is read ahead.
        """
        if self._buffer is not None or self._given_s is None:
            return False
        return now - self._given_s >= _HELD_UP_S

    def begin_reading_on(self, held):
        """
        Have the events go through a buffer from now on; `read_on` has to follow.

        Parameters
        ----------
        held : HeldBytes
        """
        self._buffer = StreamBuffer(held.open(), held.read_ahead_limit)
        self._reading = trio.CancelScope()
        self._is_read = trio.Event()
        log_event("read-ahead-began", request=self._exchange.number, held=held.total)

    async def read_on(self):
        """Read the rest of the stream into the buffer, as far as it has room."""
        buffer = self._buffer
        try:
            with self._reading:
                try:
                    await buffer.wait_for_room()
                    while events := await self._next_or_resumed():
                        buffer.put(events)
                        await buffer.wait_for_room()
                    # The server is done, however long its caller still reads.
                    await self._close_call()
                    buffer.end()
                except Exception as exc:
                    # Raised where the caller's connection is served.
                    buffer.end(exc)
        finally:
            if not buffer.is_ended:
                buffer.end(BodyCut("reading ahead ended early"))
            self._is_read.set()

    async def _next_or_resumed(self):
        while True:
            try:
                return await self._next_events()
            except CallFailed as exc:
                await self._replace_call(exc)

    async def _replace_call(self, exc):
        exchange, broken = self._exchange, self._call
        self._call = None
        # A server that was not read for long has cut the stream off rightly. Made again
        # by another one, it would meet the same caller.
        is_unread = self._buffer is not None and self._buffer.waited_s > _UNREAD_S
        await broken.close()
        held, self._has_held = self._has_held, False
        self._held_from_s = None
        if is_unread:
            # It may have ended all the same.
            await self._relay.check_ended(exchange, broken.server, exc)
        else:
            await self._relay.attempt_failed(exchange, broken.server, exc, held)
        if self._may_resume() and not is_unread:
            self._call = await self._relay.resume(exchange, exchange.last_event_id)
        if self._call is None:
            log_event(
                "stream-cut",
                level="warning",
                request=exchange.number,
                reason=exc.reason,
                after_event=exchange.last_event_id,
                events=exchange.events,
            )
            raise BodyCut(f"{exc.reason} after event {exchange.last_event_id}")
        self._splitter = EventSplitter()
        self._continuation.begin_answer()

    def _may_resume(self):
        return self._exchange.route.is_resumable and self._continuation.may_resume

    async def _next_events(self):
        """Read until at least one whole event is there; none at the end."""
        while True:
            left_s = self._exchange.deadline_s - trio.current_time()
            chunk = await self._call.next_chunk(min(left_s, _LONGEST_GAP_S))
            if chunk is None:
                self._check_end()
                return []
            if events := self._whole_events(chunk):
                self._note_held()
                self._note_gap()
                self._note_events(events)
                return events

    def _whole_events(self, chunk):
        """Give the events that a part of the answer completes and that go on."""
        try:
            return self._continuation.admit(self._splitter.feed(chunk))
        except ValueError as exc:
            raise _failed("answer-garbled", str(exc)) from exc
        except NotContinued as exc:
            raise _failed("not-continued", str(exc)) from exc

    def _note_held(self):
        if self._has_held:
            return
        now = trio.current_time()
        if self._held_from_s is None:
            self._held_from_s = now + HELD_S
        elif now >= self._held_from_s:
            self._has_held = True
            self._relay.note_held(self._exchange)

    def _check_end(self):
        """Raise `CallFailed` unless the end may be the stream's."""
        continuation = self._continuation
        if self._splitter.has_incomplete_event:
            raise _failed("answer-cut", "the stream ended within an event")
        if continuation.holds_events:
            raise _failed("not-continued", "events without ids do not go on")
        if self._is_empty() and not self._may_be_empty():
            raise _failed("answer-cut", "the stream ended before its first event")
        if self._call.framing.tells_end:
            return
        if continuation.is_awaited:
            raise _failed("answer-cut", "the connection ended before the first event")
        if not self._until_close:
            # The caller was promised a last chunk, which says that all has come.
            raise _failed("end-not-told", "the connection ended between two events")

    def _is_empty(self):
        return self._continuation.is_awaited and self._continuation.may_begin_anew

    def _note_events(self, events):
        # Also of events that are only read ahead: a server that goes on with the
        # stream must not give them once more.
        self._exchange.events += len(events)
        for event in events:
            if event.id is not None:
                self._exchange.last_event_id = event.id

    def _note_gap(self):
        now = trio.current_time()
        if self._last_event_s is not None:
            gap_s = now - self._last_event_s
            exchange = self._exchange
            exchange.longest_gap_s = max(exchange.longest_gap_s, gap_s)
            self._call.note_gap(gap_s, exchange.route.target_gap_s)
        self._last_event_s = now


def _failed(reason, detail):
    return CallFailed(Verdict.MAY_HAVE_RUN, reason, detail)
