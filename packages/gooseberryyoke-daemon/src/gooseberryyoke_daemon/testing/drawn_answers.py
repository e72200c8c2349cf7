"""Servers whose answers a test draws, with what was sent before they broke off."""

from contextlib import suppress
from enum import Enum

import trio

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS
from gooseberryyoke_daemon.wire.framing import Framing

__all__ = [
    "LAST_EVENT",
    "AnswerKind",
    "Asked",
    "Ending",
    "Script",
    "normalize",
    "serve_script",
]

LAST_EVENT = 4
"""Of every run of a stream."""
_NAMES = HeaderNames()
_BEFORE_RESET_S = 0.01
"""For what was sent to arrive, which a reset may take away."""
_FOREVER_S = 1000.0
_STREAM_TYPE = b"text/event-stream"
_PLAIN_TYPE = b"application/json"


class AnswerKind(Enum):
    """What a server answers."""

    RESUMES = "events after Last-Event-Id"
    RESTARTS = "events from the first one on"
    PLAIN = "one body"
    EMPTY = "500 without a body"
    REFUSAL = "503, not run"
    FAILURE = "503 without a promise"


_STATUS = {AnswerKind.EMPTY: 500, AnswerKind.REFUSAL: 503, AnswerKind.FAILURE: 503}


class Ending(Enum):
    """What a server does after its last byte."""

    FIN = "fin"
    RESET = "reset"
    SILENCE = "silence"


class Script(Record):
    """
    How a server answers.

    Parameters
    ----------
    kind : AnswerKind
    framing : Framing
    status : int
        Of answers with a body.
    line_end : bytes
        Of events.
    has_preamble : bool
        A block without an id goes before the events.
    padding : int
        Bytes of each event beyond the least.
    cut : int or None
        Position at which the answer breaks off, modulo its length; None for a whole
        one.
    blocks : int or None
        Of the body, after which the answer breaks off instead of at `cut`; modulo
        their number.
    ending : Ending
    piece_bytes : int
        Written at once.
    chunk_bytes : int
    """

    __slots__ = (
        "kind",
        "framing",
        "status",
        "line_end",
        "has_preamble",
        "padding",
        "cut",
        "blocks",
        "ending",
        "piece_bytes",
        "chunk_bytes",
    )

    def __init__(
        self,
        kind,
        framing=Framing.CHUNKED,
        status=200,
        line_end=b"\n",
        has_preamble=False,
        padding=0,
        cut=None,
        blocks=None,
        ending=Ending.FIN,
        piece_bytes=64 * 1024,
        chunk_bytes=64 * 1024,
    ):
        self.kind = kind
        self.framing = framing
        self.status = status
        self.line_end = line_end
        self.has_preamble = has_preamble
        self.padding = padding
        self.cut = cut
        self.blocks = blocks
        self.ending = ending
        self.piece_bytes = piece_bytes
        self.chunk_bytes = chunk_bytes

    @property
    def is_stream(self):
        """Whether the answer has the type of events."""
        return self.kind in (AnswerKind.RESUMES, AnswerKind.RESTARTS)


class Asked:
    """
    A request that came to a server, and its answer.

    Parameters
    ----------
    number : int
        Of the server, part of its events.
    script : Script
    after : int or None
        ``Last-Event-Id`` of the request.

    Attributes
    ----------
    first : int
        Id of the first event, if it is a stream.
    status : int
    body : bytes
        As meant.
    sent : bytes
        With head and framing, up to the break.
    sent_body : bytes
        The body's part of them.
    is_sent_whole : bool
    """

    __slots__ = (
        "number",
        "script",
        "after",
        "first",
        "status",
        "body",
        "sent",
        "sent_body",
        "is_sent_whole",
    )

    def __init__(self, number, script, after):
        self.number = number
        self.script = script
        self.after = after
        resumes = script.kind is AnswerKind.RESUMES and after is not None
        self.first = after + 1 if resumes else 1
        self.status = _STATUS.get(script.kind, script.status)
        self.body = b"".join(self._blocks())
        self._cut()

    def event(self, id):
        """Give an event of this run."""
        end = self.script.line_end
        data = b"data: run %d event %d " % (self.number, id)
        return b"id: %d" % id + end + data + b"x" * self.script.padding + end * 2

    def _blocks(self):
        if not self.script.is_stream:
            is_plain = self.script.kind is AnswerKind.PLAIN
            return [b'{"run":\n\n%d}' % self.number] if is_plain else []
        preamble = b"retry: 1000" + self.script.line_end * 2
        events = map(self.event, range(self.first, LAST_EVENT + 1))
        return [*([preamble] if self.script.has_preamble else []), *events]

    def _head(self):
        script = self.script
        lines = [b"HTTP/1.1 %d X" % self.status]
        lines.append(b"%b: sig" % _NAMES.signature.encode())
        if script.kind is AnswerKind.REFUSAL:
            lines.append(b"%b: 1" % _NAMES.not_run.encode())
        if self.body or script.is_stream:
            kind = _STREAM_TYPE if script.is_stream else _PLAIN_TYPE
            lines.append(b"content-type: " + kind)
        if script.framing is Framing.LENGTH:
            lines.append(b"content-length: %d" % len(self.body))
        elif script.framing is Framing.CHUNKED:
            lines.append(b"transfer-encoding: chunked")
        return b"\r\n".join([*lines, b"", b""])

    def _parts(self):
        """Give what is sent, each part with whether it is of the body."""
        yield self._head(), False
        if self.script.framing is not Framing.CHUNKED:
            yield self.body, True
            return
        step = self.script.chunk_bytes
        for start in range(0, len(self.body), step):
            chunk = self.body[start : start + step]
            yield b"%x\r\n" % len(chunk), False
            yield chunk, True
            yield b"\r\n", False
        yield b"0\r\n\r\n", False

    def _position(self, parts, size):
        """Tell how many bytes are sent."""
        script = self.script
        if script.blocks is None:
            return size if script.cut is None else script.cut % (size + 1)
        blocks = self._blocks()
        body_bytes = len(b"".join(blocks[: script.blocks % (len(blocks) + 1)]))
        position = 0
        for data, is_body in parts:
            if is_body and len(data) >= body_bytes:
                return position + body_bytes
            position += len(data)
            body_bytes -= len(data) if is_body else 0
        return size

    def _cut(self):
        parts = list(self._parts())
        size = sum(len(data) for data, _ in parts)
        left = self._position(parts, size)
        self.is_sent_whole = left == size
        sent, sent_body = bytearray(), bytearray()
        for data, is_body in parts:
            data = data[: max(0, left)]
            left -= len(data)
            sent += data
            sent_body += data if is_body else b""
        self.sent, self.sent_body = bytes(sent), bytes(sent_body)

    @property
    def has_head(self):
        """Whether the whole head was sent."""
        return b"\r\n\r\n" in self.sent

    @property
    def tells_end(self):
        """Whether the end was sent, and told by a length or a last chunk."""
        return self.is_sent_whole and self.script.framing.tells_end

    @property
    def ends_quietly(self):
        """Whether the end is one that nothing tells from the regular one."""
        if self.script.framing.tells_end or self.script.ending is not Ending.FIN:
            return False
        is_within = self.status == 200 and self.script.is_stream
        at_border = not is_within or normalize(self.sent_body).endswith(b"\n\n")
        return self.has_head and at_border

    @property
    def is_whole(self):
        """Whether the answer came to its regular end."""
        if self.script.framing.tells_end:
            return self.is_sent_whole
        return self.is_sent_whole and self.script.ending is Ending.FIN

    @property
    def begins_stream(self):
        """Whether a whole block of a stream was sent."""
        is_stream = self.status == 200 and self.script.is_stream
        return is_stream and b"\n\n" in normalize(self.sent_body)

    async def answer(self, stream):
        """Send the answer up to its break, and end as the script says."""
        step = self.script.piece_bytes
        for start in range(0, len(self.sent), step):
            await stream.send_all(self.sent[start : start + step])
        if self.script.ending is Ending.SILENCE:
            await trio.sleep(_FOREVER_S)
        if self.script.ending is Ending.RESET:
            await trio.sleep(_BEFORE_RESET_S)
            stream.reset()


def normalize(data):
    """Turn all line ends into line feeds."""
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def serve_script(number, script, asked):
    """
    Make the handler of a server.

    Parameters
    ----------
    number : int
    script : Script
    asked : list of Asked
        Extended by what is asked of the server.

    Returns
    -------
    async callable
    """

    async def handler(stream):
        async with stream:
            request = await receive_request(stream)
            if not request:
                return
            attempt = Asked(number, script, _last_event_id(request))
            asked.append(attempt)
            with suppress(*STREAM_ERRORS):
                await attempt.answer(stream)

    return handler


def _last_event_id(request):
    for line in request.lower().split(b"\r\n"):
        if line.startswith(b"last-event-id:"):
            return int(line.partition(b":")[2])
    return None
