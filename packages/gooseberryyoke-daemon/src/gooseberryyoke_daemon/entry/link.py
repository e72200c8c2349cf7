"""The way from an entry to an agent: dispatch, read, resume, ask after."""

from orjson import JSONDecodeError, dumps, loads
from returns.result import Failure, Success
from trio import Cancelled, TooSlowError, fail_after, sleep

from gooseberryyoke.claim import AttemptState
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.stream import Assembler, FrameError, StreamBroken, decode_frame
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import Address, ConnectFailed, Request, WireError

__all__ = ["AgentLink"]

_PATH = "/internal/attempts"
_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_READABLE = (AttemptState.RUNNING.value, AttemptState.DONE.value)
_RETRY_S = 1.0
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5


class AgentLink:
    """
    Runs attempts at agents.

    Parameters
    ----------
    client : HttpClient
        Signs what it sends.
    clock : Clock
    nursery : trio.Nursery
        Runs the cancelling of attempts that nobody waits for any more.
    silence_s : float
        Longest silence on an open stream before a new connection is tried, in
        seconds; several heartbeats of the agent.
    recover_s : float
        How long to look for an agent that can't be reached, in seconds, while
        the attempt may be repeated elsewhere.
    """

    def __init__(self, client, clock, nursery, silence_s, recover_s):
        self._client = client
        self._nursery = nursery
        self._clock = clock
        self._silence_s = silence_s
        self._recover_s = recover_s

    async def run(self, server, order, delivery, deadline_s):
        """
        Dispatch an attempt and read its answer to the end.

        Parameters
        ----------
        server : ServerAnnouncement
        order : AttemptOrder
        delivery : Delivery
            Takes the pieces as they come.
        deadline_s : float
            Monotonic time until which a lost agent is looked for.

        Returns
        -------
        Result of None, Refusal
            Success once the answer is whole.
        """
        attempt = _Attempt(
            self,
            Address.parse(server.address),
            order.attempt,
            order.incarnation,
            order.ordered_s,
            order.repeatable,
            delivery,
        )
        try:
            return await attempt.run(dumps(order.to_json()), deadline_s)
        except (Cancelled, Exception):
            # In the background: the caller's final answer must not wait for it.
            self._nursery.start_soon(attempt.cancel)
            raise

    async def follow(
        self, address, number, incarnation, ordered_s, delivery, deadline_s
    ):
        """
        Bar an attempt that another request dispatched, or read its answer.

        Parameters
        ----------
        address : Address
            Of the agent.
        number : str
            Of the attempt; it may not be repeated.
        incarnation : int
            Life of the agent that the attempt was meant for.
        ordered_s : float
            Wall-clock time of its order or claim, in seconds.
        delivery : Delivery
        deadline_s : float
            Monotonic time until which a lost agent is looked for.

        Returns
        -------
        Result of None, Refusal
            A refusal with the verdict not-run proves that the attempt is barred.
        """
        attempt = _Attempt(
            self, address, number, incarnation, ordered_s, False, delivery
        )
        return await attempt.recover(None, deadline_s)

    def open(self, address, request, fresh):
        """Open an exchange whose head must come before the silence is too long."""
        return self._client.open(address, request, self._silence_s, fresh=fresh)

    async def ask(self, address, path, payload):
        """Send a small question that may be asked again."""
        return await self._client.json(
            "POST", address, path, payload, timeout_s=self._silence_s, repeatable=True
        )

    def now(self):
        """Give the monotonic time, in seconds."""
        return self._clock.now()

    @property
    def silence_s(self):
        """Longest silence on an open stream, in seconds."""
        return self._silence_s

    def give_up_s(self, repeatable, deadline_s):
        """
        Tell until when a lost agent is looked for.

        Work that may not be repeated can't be done elsewhere, so that it pays to
        look until the deadline.
        """
        if repeatable:
            return min(deadline_s, self._clock.now() + self._recover_s)
        return deadline_s


class _Attempt:
    """One attempt, over as many connections as it takes."""

    __slots__ = (
        "_address",
        "_assembler",
        "_delivery",
        "_incarnation",
        "_link",
        "_number",
        "_ordered_s",
        "_repeatable",
    )

    def __init__(
        self, link, address, number, incarnation, ordered_s, repeatable, delivery
    ):
        self._link = link
        self._address = address
        self._number = number
        self._incarnation = incarnation
        self._ordered_s = ordered_s
        self._repeatable = repeatable
        self._delivery = delivery
        self._assembler = Assembler(number)

    async def run(self, body, deadline_s):
        request = Request("POST", _PATH, [("content-type", "application/json")], body)
        return await self.recover(await self._read(request, fresh=False), deadline_s)

    async def recover(self, result, deadline_s):
        # The answer to the dispatch is lost, or the stream went silent. The order
        # is never sent again blindly: the agent is asked by the attempt's number.
        pause_s, give_up_s = _FIRST_PAUSE_S, None
        while result is None:
            if give_up_s is None:
                give_up_s = self._link.give_up_s(self._repeatable, deadline_s)
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
        if not self._repeatable:
            return
        try:
            await self._link.ask(self._address, f"{self._path}/cancel", {})
        except WireError:
            # The agent cancels what is missing from the entry's next answer to
            # its announcement.
            log_event("cancel-lost", attempt=self._number)

    @property
    def _path(self):
        return f"{_PATH}/{self._number}"

    async def _ask_after(self):
        log_event("attempt-asked-after", attempt=self._number)
        asked = {"incarnation": self._incarnation, "ordered_s": self._ordered_s}
        try:
            reply = await self._link.ask(self._address, f"{self._path}/bar", asked)
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
            async with self._link.open(self._address, request, fresh) as reply:
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
            log_event("stream-broken", attempt=self._number, error=repr(exc))
        return None

    async def _read_frames(self, reply):
        chunks, rest = reply.chunks(), b""
        while True:
            with fail_after(self._link.silence_s):
                chunk = await anext(chunks, None)
            if chunk is None:
                return None
            *lines, rest = (rest + chunk).split(b"\n")
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
        return Success(None) if self._assembler.whole else None

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
