"""Runs an attempt at the backend server and writes its answer into the log."""

from h11 import RemoteProtocolError
from trio import move_on_after, sleep

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.stream.events import EventSplitter, is_event_stream
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.server_report import read_report
from gooseberryyoke_daemon.wire import WireError

__all__ = ["Runner"]

_HOP_HEADERS = frozenset(
    ["connection", "content-length", "keep-alive", "transfer-encoding", "upgrade"]
)
# A backend server must not speak in the system's name: with a verdict of its own
# beside the entry's, a caller would take the first one.
_OWN_PREFIX = "gooseberryyoke-"
_LOOK_AGAIN_S = 0.05
"""A process that ends may close its connections before it stops listening."""


class Runner:
    """
    Carries attempts to one backend server.

    Parameters
    ----------
    client : HttpClient
        Makes the exchanges.
    address : Address
        Of the backend server.
    head_timeout_s : float
        How long the server may take until the head of its answer, in seconds.
        It bounds work that can't be cancelled because it may not be repeated.
    answer_bytes : int
        Largest answer that is kept.
    hear : callable
        Told the `ServerReport` of each answer, and the attempt.
    names : HeaderNames
    """

    def __init__(self, client, address, head_timeout_s, answer_bytes, hear, names):
        self._hear = hear
        self._names = names
        self._client = client
        self._address = address
        self._head_timeout_s = head_timeout_s
        self._answer_bytes = answer_bytes

    async def run(self, attempt):
        """
        Run one attempt to its end or abort.

        Parameters
        ----------
        attempt : Attempt
            Its log is written, its scope cancels the work.

        Notes
        -----
        Work that may not be repeated goes on past the caller's deadline: cutting
        it would leave nobody able to tell whether it ran, and the caller who asks
        again gets the kept answer.
        """
        order = attempt.order
        limit_s = order.budget_s if order.repeatable else self._head_timeout_s
        with attempt.scope:
            with move_on_after(limit_s) as timer:
                await self._exchange(attempt)
        if timer.cancelled_caught and not attempt.log.finished:
            attempt.log.abort(Verdict.MAY_HAVE_RUN, "deadline", f"after {limit_s:g} s")
        elif not attempt.log.finished:
            attempt.log.abort(Verdict.MAY_HAVE_RUN, "cancelled", "nobody waits for it")
        attempt.notify()
        log_event(
            "attempt-ended",
            attempt=order.attempt,
            end=type(attempt.log.last).__name__,
            reason=getattr(attempt.log.last, "reason", ""),
        )

    async def _exchange(self, attempt):
        try:
            await self._relay(attempt)
        except WireError as exc:
            # A refused connection proves that the server never saw the request.
            reason = await self._reason(exc.verdict, "server-failed")
            attempt.log.abort(exc.verdict, reason, str(exc))
        except RemoteProtocolError as exc:
            reason = await self._reason(Verdict.MAY_HAVE_RUN, "server-cut")
            attempt.log.abort(Verdict.MAY_HAVE_RUN, reason, str(exc))

    async def _reason(self, verdict, reason):
        """Tell a server that ended under an attempt from one that broke it off."""
        if verdict is Verdict.NOT_RUN:
            return reason
        if not await self._client.is_refused(self._address):
            await sleep(_LOOK_AGAIN_S)
            if not await self._client.is_refused(self._address):
                return reason
        return "server-ended"

    async def _relay(self, attempt):
        request = attempt.order.request()
        # A kept connection may be closed by the server at just this moment, and then
        # nobody can tell whether the request was read. A repeat finds out; what may
        # not be repeated pays for a new connection.
        async with self._client.open(
            self._address,
            request,
            timeout_s=self._head_timeout_s,
            repeatable=attempt.order.repeatable,
            fresh=not attempt.order.repeatable,
        ) as reply:
            report = read_report(reply.status, reply.headers, self._names)
            self._hear(report, attempt)
            headers = [pair for pair in reply.headers if _is_passed_on(pair[0])]
            attempt.log.head(reply.status, headers, not reply.framing.tells_end)
            attempt.notify()
            await self._relay_body(attempt, reply)

    async def _relay_body(self, attempt, reply):
        splitter = EventSplitter(self._answer_bytes)
        is_split = _only_events_tell_a_cut(reply)
        async for chunk in reply.chunks():
            attempt.log.data(bytes(chunk))
            attempt.notify()
            if attempt.log.size_bytes > self._answer_bytes:
                detail = f"more than {self._answer_bytes} bytes"
                attempt.log.abort(Verdict.RAN, "answer-too-long", detail)
                return
            if is_split:
                splitter.feed(chunk)
        if splitter.has_incomplete_event:
            detail = "the stream ended within an event"
            attempt.log.abort(Verdict.MAY_HAVE_RUN, "server-cut", detail)
        else:
            attempt.log.end()


def _only_events_tell_a_cut(reply):
    is_events = is_event_stream(reply.header("content-type", ""))
    return is_events and not reply.framing.tells_end


def _is_passed_on(name):
    return name not in _HOP_HEADERS and not name.startswith(_OWN_PREFIX)
