"""What drivers and the rank's engine may ask of an agent."""

from orjson import JSONDecodeError, loads

from gooseberryyoke.expert import (
    MalformedMessageError,
    decode_map_message,
    encode_map_message,
)
from gooseberryyoke.order import MalformedOrderError, OrderOutcome, decode_order
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.wire import json_response, problem_response

__all__ = ["GroupRoutes"]

_MAP_PREFIX = "/internal/map/"
_ORDERS_PATH = "/internal/orders"
_PERMITS_PATH = "/internal/permits"
_MESSAGE_KINDS = frozenset(
    ("hello", "restore", "stage", "promise", "commit", "abort", "retire")
)
_STATE_KIND = "state"
_STATUSES = {
    OrderOutcome.ACCEPTED: 202,
    OrderOutcome.RUNNING: 202,
    OrderOutcome.DONE: 200,
    OrderOutcome.FAILED: 200,
}
_REFUSED_STATUS = 409


class GroupRoutes:
    """
    Routes of a rank's agent, for requests that passed the signature check.

    Parameters
    ----------
    agent : RankAgent
    """

    def __init__(self, agent):
        self._agent = agent

    async def __call__(self, request):
        """
        Answer a request.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another part's.
        """
        handler = self._handler(request)
        if handler is None:
            return None
        try:
            return handler(loads(request.body) if request.body else None)
        except (JSONDecodeError, MalformedMessageError, MalformedOrderError) as exc:
            return problem_response(Refusal(Verdict.NOT_RUN, 400, "body", str(exc)))

    def _handler(self, request):
        kind = request.path.removeprefix(_MAP_PREFIX)
        if (request.method, request.path) == ("GET", _MAP_PREFIX + _STATE_KIND):
            return self._state
        if request.method != "POST":
            return None
        if request.path == _ORDERS_PATH:
            return self._order
        if request.path == _PERMITS_PATH:
            return self._permit
        if kind != request.path and kind in _MESSAGE_KINDS:
            return lambda data: self._message(kind, data)
        return None

    def _state(self, _):
        return json_response(200, encode_map_message(self._agent.state.report()))

    def _message(self, kind, data):
        report = self._agent.receive(decode_map_message(kind, data))
        status = 200 if report.refused is None else _REFUSED_STATUS
        return json_response(status, encode_map_message(report))

    def _order(self, data):
        reply = self._agent.submit(decode_order(data))
        payload = {
            "number": reply.number,
            "outcome": reply.outcome.value,
            "detail": reply.detail,
        }
        return json_response(_STATUSES.get(reply.outcome, _REFUSED_STATUS), payload)

    def _permit(self, data):
        permit = self._agent.permit(*_engine_state(data))
        segments = [encode_map_message(part) for part in permit.segments]
        payload = {"segments": segments, "until_step": permit.until_step}
        return json_response(200, payload)


def _engine_state(data):
    match data:
        case {
            "next_step": int(next_step),
            "until_step": int(until_step),
            "loaded": list(loaded),
        } if all(isinstance(digest, str) for digest in loaded):
            return next_step, until_step, loaded
    raise MalformedMessageError(f"{data!r}: expected next_step, until_step and loaded")
