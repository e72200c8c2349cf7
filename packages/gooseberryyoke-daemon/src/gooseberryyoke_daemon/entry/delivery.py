"""Where an answer goes: whole, or piece by piece while it is produced."""

from returns.result import Failure
from trio import BrokenResourceError, Event, open_memory_channel
from xxhash import xxh3_128

from gooseberryyoke.stream.events import (
    BLANK_LINE_BYTES,
    ends_with_event,
    is_event_stream,
)
from gooseberryyoke_daemon.entry.answer import (
    Answer,
    answer_headers,
    error_event,
    verdict_of_status,
)
from gooseberryyoke_daemon.entry.exceptions import (
    AnswerDiffers,
    CallerGone,
    EndNotTold,
    StreamCut,
)
from gooseberryyoke_daemon.wire import Response, problem_response

__all__ = ["Delivery"]

_CHUNKS_AHEAD = 64
_CLIENT_ERROR = 400


class Delivery:
    """
    The answer to one request, on its way to the caller.

    Parameters
    ----------
    on_close : callable
        Called when the caller leaves before the end of a streamed answer.

    Attributes
    ----------
    first_data_s, last_data_s : float or None
        Monotonic times of the first and last piece of the body, in seconds.
    pieces : int
        Pieces of the body so far.

    Notes
    -----
    A second attempt of a repeatable request produces its answer from the
    beginning. What the caller has got already is skipped, and compared by its
    digest: the two answers may differ, and a mixture of both would be neither.
    """

    __slots__ = (
        "first_data_s",
        "head",
        "last_data_s",
        "pieces",
        "streaming",
        "_body",
        "_new_sum",
        "_on_close",
        "_on_first",
        "_ready",
        "_receive",
        "_response",
        "_send",
        "_sent_bytes",
        "_skip_bytes",
        "_sum",
        "_tail",
        "_whole",
    )

    def __init__(self, on_close=lambda: None):
        self._on_close = on_close
        self._on_first = None
        self.first_data_s = None
        self.last_data_s = None
        self.pieces = 0
        self.head = None
        self.streaming = False
        self._body = bytearray()
        self._ready = Event()
        self._response = None
        self._send, self._receive = open_memory_channel(_CHUNKS_AHEAD)
        self._sent_bytes = 0
        self._skip_bytes = 0
        self._sum = xxh3_128()
        self._new_sum = None
        self._tail = b""
        self._whole = False

    @property
    def started(self):
        """Whether the caller has got a part of the answer."""
        return self._sent_bytes > 0

    @property
    def size_bytes(self):
        """Length of an answer that is passed on whole, in bytes."""
        return len(self._body)

    def begin_attempt(self, streaming, on_first=lambda now: None):
        """
        Take the answer of a new attempt, from its beginning.

        Parameters
        ----------
        streaming : bool
            Whether to pass pieces on before the answer is whole.
        on_first : callable
            Takes the time of the attempt's first piece.
        """
        self.streaming = streaming
        self._on_first = on_first
        self._body = bytearray()
        self._skip_bytes = self._sent_bytes
        self._new_sum = xxh3_128()

    def set_head(self, head):
        """Take status and headers, a `HeadFrame`."""
        if self.started and head.status != self.head.status:
            raise AnswerDiffers(f"status {head.status} after {self.head.status}")
        self.head = head

    async def data(self, data, now):
        """
        Take a piece of the body.

        Parameters
        ----------
        data : bytes
        now : float
            Monotonic time, in seconds.

        Raises
        ------
        AnswerDiffers
            If the new attempt's answer doesn't go on from the old one's.
        CallerGone
            If the caller has left.
        """
        if not data:
            return
        if self._on_first is not None:
            self._on_first(now)
            self._on_first = None
        if self.first_data_s is None:
            self.first_data_s = now
        self.last_data_s = now
        self.pieces += 1
        if not self.streaming or self._is_error():
            self._body += data
            return
        data = self._skip(data)
        if data:
            await self._pass_on(data)

    def finish(self, result):
        """
        End the answer.

        Parameters
        ----------
        result : Result of Answer, Refusal
        """
        if self._ready.is_set() and not self.streaming:
            return
        if isinstance(result, Failure):
            self._refuse(result.failure())
        else:
            self._complete(result.unwrap())
        self._ready.set()
        self._send.close()

    def take_answer(self):
        """
        Give the answer that has arrived, once the attempt has ended.

        Returns
        -------
        Answer

        Raises
        ------
        AnswerDiffers
            If it ended before what the caller has got already.
        EndNotTold
            If only its connection tells the end of it, while the caller's answer was
            begun with framing for the attempt before.
        """
        head = self.head
        if self._skip_bytes > 0:
            raise AnswerDiffers(f"{self._skip_bytes} bytes short of the one before")
        if head.until_close and self.started and not self._response.until_close:
            raise EndNotTold("the connection ended, which tells no whole answer")
        verdict = verdict_of_status(head.status)
        body = bytes(self._body)
        return Answer(head.status, head.headers, body, verdict, head.until_close)

    async def ready(self):
        """
        Wait for the response.

        Returns
        -------
        Response
            Its body may still be produced while it is sent.
        """
        await self._ready.wait()
        return self._response

    def _is_error(self):
        # An error comes whole, so that a retry can still take its place.
        return not self.started and self.head.status >= _CLIENT_ERROR

    def _skip(self, data):
        if self._skip_bytes == 0:
            return data
        repeated, rest = data[: self._skip_bytes], data[self._skip_bytes :]
        self._new_sum.update(repeated)
        self._skip_bytes -= len(repeated)
        if self._skip_bytes == 0 and self._new_sum.digest() != self._sum.digest():
            raise AnswerDiffers(f"within the first {self._sent_bytes} bytes")
        return rest

    async def _pass_on(self, data):
        if not self._ready.is_set():
            head = self.head
            headers = answer_headers(head.headers, verdict_of_status(head.status))
            body = self._chunks()
            self._response = Response(head.status, headers, body, head.until_close)
            self._ready.set()
        self._sum.update(data)
        self._sent_bytes += len(data)
        self._tail = (self._tail + data[-BLANK_LINE_BYTES:])[-BLANK_LINE_BYTES:]
        try:
            await self._send.send(data)
        except BrokenResourceError as exc:
            raise CallerGone from exc

    def _complete(self, answer):
        self._whole = True
        if not self.started:
            headers = answer_headers(answer.headers, answer.verdict)
            self._response = Response(
                answer.status, headers, answer.body, answer.until_close
            )

    def _refuse(self, refusal):
        if not self.started:
            self._response = problem_response(refusal)
            return
        is_events = is_event_stream(dict(self.head.headers).get("content-type", ""))
        # Behind a part of an event it would be read as the rest of that one.
        if is_events and ends_with_event(self._tail):
            self._body = bytearray(error_event(refusal))

    async def _chunks(self):
        # The server closes this generator when the caller leaves. Without the
        # call, an engine that is silent just then would work on for nobody.
        try:
            with self._receive:
                async for chunk in self._receive:
                    yield chunk
        except GeneratorExit:
            self._on_close()
            raise
        if not self._whole:
            if self._body:
                yield bytes(self._body)
            raise StreamCut
