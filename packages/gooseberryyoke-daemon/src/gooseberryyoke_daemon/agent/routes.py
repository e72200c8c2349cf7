"""What other processes may ask of an agent."""

from math import isfinite

from orjson import JSONDecodeError, loads
from returns.result import Failure
from trio import move_on_after

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.stream import HeartbeatFrame, encode_frame
from gooseberryyoke_daemon.agent.attempt import AttemptOrder
from gooseberryyoke_daemon.agent.exceptions import OrderError
from gooseberryyoke_daemon.paths import ATTEMPTS_PATH
from gooseberryyoke_daemon.wire import Response, json_response, problem_response

__all__ = ["AgentRoutes"]

_MOST_DIGITS = 15
_SHOWN_CHARACTERS = 200
_FRAMES = (("content-type", "application/x-ndjson"),)


class AgentRoutes:
    """
    Routes under ``/internal/attempts``.

    Parameters
    ----------
    table : AttemptTable
    heartbeat_s : float
        Longest silence on an open stream, in seconds.
    """

    def __init__(self, table, heartbeat_s):
        self._table = table
        self._heartbeat_s = heartbeat_s

    async def __call__(self, request):
        """
        Answer a request that has passed the signature check.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another part's.
        """
        if not request.path.startswith(ATTEMPTS_PATH):
            return None
        parts = request.path.removeprefix(ATTEMPTS_PATH).strip("/").split("/")
        match request.method, parts:
            case "POST", [""]:
                return self._start(request)
            case "GET", [attempt] if attempt:
                return self._resume(attempt, request)
            case "POST", [attempt, "bar"]:
                return self._bar(attempt, request)
            case "POST", [attempt, "cancel"]:
                self._table.cancel(attempt)
                return json_response(200, {})
        return problem_response(_not_found(request))

    def _start(self, request):
        try:
            order = AttemptOrder.from_json(loads(request.body))
        except (OrderError, JSONDecodeError) as exc:
            return problem_response(Refusal(Verdict.NOT_RUN, 400, "order", str(exc)))
        taken = self._table.take(order)
        if isinstance(taken, Failure):
            return problem_response(taken.failure())
        return Response(200, _FRAMES, self._frames(taken.unwrap(), 0))

    def _resume(self, number, request):
        attempt = self._table.find(number)
        if attempt is None:
            return problem_response(self._table.unknown(number))
        start = request.query.get("from", "0")
        if not _is_sequence(start):
            detail = f"from is {start[:_SHOWN_CHARACTERS]!r}, expected a frame's number"
            return problem_response(Refusal(Verdict.NOT_RUN, 400, "from", detail))
        return Response(200, _FRAMES, self._frames(attempt, int(start)))

    def _bar(self, number, request):
        try:
            asked = loads(request.body)
            incarnation, ordered_s = asked["incarnation"], float(asked["ordered_s"])
            if type(incarnation) is not int or not isfinite(ordered_s):
                raise ValueError(f"incarnation {incarnation!r}, ordered_s {ordered_s}")
        except (JSONDecodeError, KeyError, TypeError, ValueError) as exc:
            return problem_response(
                Refusal(Verdict.NOT_RUN, 400, "bar", repr(exc)[:_SHOWN_CHARACTERS])
            )
        state = self._table.bar(number, incarnation, ordered_s)
        return json_response(200, {"outcome": state.value})

    async def _frames(self, attempt, sequence):
        # A connection may go silent for good while new ones work. The heartbeats
        # let the entry tell that from a slow answer, and resume on a new one.
        while True:
            frames = attempt.log.frames_from(sequence)
            if frames:
                yield b"".join(encode_frame(frame) for frame in frames)
                if frames[-1] is attempt.log.last:
                    self._table.note_read(attempt)
                    return
                sequence += len(frames)
                # The log may have grown while these were being sent. To wait here
                # would hold back what is new until the next heartbeat.
                continue
            with move_on_after(self._heartbeat_s) as silence:
                await attempt.changed()
            if silence.cancelled_caught:
                yield encode_frame(HeartbeatFrame(attempt.order.attempt))


def _is_sequence(text):
    return text.isascii() and text.isdigit() and len(text) <= _MOST_DIGITS


def _not_found(request):
    detail = f"{request.method} {request.path} is no call of this process"
    return Refusal(Verdict.NOT_RUN, 404, "not-found", detail)
