"""One attempt at an agent: dispatched or followed, read, resumed, asked after."""

from orjson import JSONDecodeError, loads
from returns.result import Failure, Success
from trio import TooSlowError, fail_after, sleep

from gooseberryyoke.claim import AttemptState
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.record import Record
from gooseberryyoke.stream import Assembler, FrameError, StreamBroken, decode_frame
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import ATTEMPTS_PATH
from gooseberryyoke_daemon.wire import ConnectFailed, Request, WireError

__all__ = ["AttemptReference", "RemoteAttempt"]

_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_READABLE = (AttemptState.RUNNING.value, AttemptState.DONE.value)
_RETRY_S = 1.0
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5
_LONGEST_FRAME_BYTES = 1024 * 1024
"""Agents put what they receive at once, 16 KiB at most, into a frame."""


class AttemptReference(Record):
    """
    What names an attempt at its agent.

    Parameters
    ----------
    address : Address
        Of the agent.
    number : str
        Of the attempt.
    incarnation : int
        Life of the agent that the attempt was meant for.
    ordered_s : float
        Wall-clock time of its order or claim, in seconds.
    repeatable : bool
        Whether the work may be cancelled and done elsewhere.
    """

    __slots__ = ("address", "number", "incarnation", "ordered_s", "repeatable")

    def __init__(self, address, number, incarnation, ordered_s, repeatable):
        self.address = address
        self.number = number
        self.incarnation = incarnation
        self.ordered_s = ordered_s
        self.repeatable = repeatable


class RemoteAttempt:
    """
    One attempt, over as many connections as it takes.

    Parameters
    ----------
    link : AgentLink
        Reaches the agent.
    reference : AttemptReference
    delivery : Delivery
        Takes the pieces of the answer.
    """

    __slots__ = ("_assembler", "_delivery", "_link", "_reference")

    def __init__(self, link, reference, delivery):
        self._link = link
        self._reference = reference
        self._delivery = delivery
        self._assembler = Assembler(reference.number)

    async def run(self, body, deadline_s):
        """
        Dispatch the attempt and read its answer to the end.

        Parameters
        ----------
        body : bytes
            The order, as JSON.
        deadline_s : float
            Monotonic time until which a lost agent is looked for.

        Returns
        -------
        Result of None, Refusal
        """
        request = Request(
            "POST", ATTEMPTS_PATH, [("content-type", "application/json")], body
        )
        return await self.recover(await self._read(request, fresh=False), deadline_s)

    async def recover(self, result, deadline_s):
        """
        Ask after the attempt and resume its answer until there is a result.

        Parameters
        ----------
        result : Result of None, Refusal, or None
            What is known already; None for nothing.
        deadline_s : float
            As for `run`.

        Returns
        -------
        Result of None, Refusal
        """
        # The answer to the dispatch is lost, or the stream went silent. The order
        # is never sent again blindly: the agent is asked by the attempt's number.
        pause_s, give_up_s = _FIRST_PAUSE_S, None
        while result is None:
            if give_up_s is None:
                give_up_s = self._link.give_up_s(self._reference.repeatable, deadline_s)
            progress = self._assembler.next_sequence
            result = await self._ask_after()
            if self._assembler.next_sequence > progress:
                pause_s, give_up_s = _FIRST_PAUSE_S, None
            elif result is None and self._link.now() + pause_s >= give_up_s:
                return Failure(self._lost("agent-lost", "the agent can't be reached"))
            elif result is None:
                await sleep(pause_s)
                pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
        return result

    async def cancel(self):
        """Stop the work at the agent, if it may be repeated."""
        if not self._reference.repeatable:
            return
        try:
            await self._link.ask(self._reference.address, f"{self._path}/cancel", {})
        except WireError:
            # The agent cancels what is missing from the entry's next answer to
            # its announcement.
            log_event("cancel-lost", attempt=self._reference.number)

    @property
    def _path(self):
        return f"{ATTEMPTS_PATH}/{self._reference.number}"

    async def _ask_after(self):
        log_event("attempt-asked-after", attempt=self._reference.number)
        asked = {
            "incarnation": self._reference.incarnation,
            "ordered_s": self._reference.ordered_s,
        }
        try:
            reply = await self._link.ask(
                self._reference.address, f"{self._path}/bar", asked
            )
        except WireError:
            return None
        if reply.status != _OK:
            return Failure(self._lost("agent-refused", f"status {reply.status}"))
        state = reply.payload["outcome"]
        if state == AttemptState.BARRED.value:
            detail = "the agent never took the attempt and has barred it"
            refusal = Refusal(
                Verdict.NOT_RUN, _UNAVAILABLE, "not-taken", detail, _RETRY_S
            )
            return Failure(refusal)
        if state not in _READABLE:
            return Failure(self._lost("agent-cannot-tell", f"the attempt is {state}"))
        target = f"{self._path}?from={self._assembler.next_sequence}"
        return await self._read(Request("GET", target), fresh=True)

    async def _read(self, request, fresh):
        try:
            async with self._link.open(
                self._reference.address, request, fresh
            ) as reply:
                if reply.status != _OK:
                    return Failure(_refusal_of(await reply.read()))
                return await self._read_frames(reply)
        except ConnectFailed as exc:
            if request.method == "POST":
                detail = f"no connection to the agent: {exc}"
                refusal = Refusal(
                    Verdict.NOT_RUN, _UNAVAILABLE, "agent-unreachable", detail, 1.0
                )
                return Failure(refusal)
        except (WireError, TooSlowError, FrameError, StreamBroken) as exc:
            log_event("stream-broken", attempt=self._reference.number, error=repr(exc))
        return None

    async def _read_frames(self, reply):
        chunks, rest = reply.chunks(), b""
        while True:
            with fail_after(self._link.silence_s):
                chunk = await anext(chunks, None)
            if chunk is None:
                return None
            *lines, rest = (rest + chunk).split(b"\n")
            if len(rest) > _LONGEST_FRAME_BYTES:
                raise FrameError(f"no end within {len(rest)} bytes")
            for line in lines:
                result = await self._take(decode_frame(line))
                if result is not None:
                    return result

    async def _take(self, frame):
        had_head = self._assembler.head is not None
        data = self._assembler.accept(frame)
        if not had_head and self._assembler.head is not None:
            self._delivery.set_head(self._assembler.head)
        await self._delivery.data(data, self._link.now())
        if self._assembler.abort is not None:
            abort = self._assembler.abort
            return Failure(
                Refusal(
                    abort.verdict, _BAD_GATEWAY, abort.reason, abort.detail, _RETRY_S
                )
            )
        return Success(None) if self._assembler.is_complete else None

    def _lost(self, reason, detail):
        return Refusal(Verdict.MAY_HAVE_RUN, _BAD_GATEWAY, reason, detail, _RETRY_S)


def _refusal_of(body):
    try:
        payload = loads(body)
        verdict = Verdict(payload["verdict"])
        return Refusal(
            verdict,
            _UNAVAILABLE if verdict is Verdict.NOT_RUN else _BAD_GATEWAY,
            payload["reason"],
            payload["detail"],
            payload.get("retry_after_s", _RETRY_S),
        )
    except (JSONDecodeError, KeyError, ValueError, TypeError) as exc:
        # An answer that isn't the agent's own proves nothing.
        detail = f"{bytes(body[:80])!r} is no refusal: {exc!r}"
        return Refusal(Verdict.MAY_HAVE_RUN, _BAD_GATEWAY, "agent-garbled", detail)
