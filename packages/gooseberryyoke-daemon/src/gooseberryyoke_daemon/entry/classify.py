"""Filter: the class of a request, its patience and what it asks of a server."""

from math import isfinite

from orjson import JSONDecodeError, JSONEncodeError, dumps, loads
from returns.result import Failure

from gooseberryyoke.bundle import ENGINE
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.entry.demand import demand_of

__all__ = ["CHAT_PATH", "SERVICES_PREFIX", "Classify"]

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"
_CLASS_HEADER = "gooseberryyoke-class"
_KEY_HEADER = "idempotency-key"
_KEY_CHARACTERS = 255


class Classify:
    """
    Classifies requests by the bundle.

    Parameters
    ----------
    clock : Clock
    sizes : AnswerSizes
    """

    __slots__ = ("_clock", "_sizes")

    def __init__(self, clock, sizes):
        self._clock = clock
        self._sizes = sizes

    async def __call__(self, exchange, proceed):
        """Set class, deadline, key and demand, then go on."""
        refusal = (
            _read_body(exchange) or self._set_class(exchange) or _set_key(exchange)
        )
        if refusal is not None:
            return Failure(refusal)
        self._set_deadline(exchange)
        model = exchange.body.get("model") if _is_chat(exchange) else None
        exchange.demand = demand_of(exchange, model, self._sizes)
        return await proceed()

    def _set_class(self, exchange):
        req, bundle = exchange.request, exchange.bundle
        metadata = exchange.body.get("metadata")
        label = metadata.get("class") if isinstance(metadata, dict) else None
        label = req.header(_CLASS_HEADER, label)
        path, model = req.target.partition("?")[0], exchange.body.get("model")
        exchange.request_class = bundle.classify(req.method, path, model, label)
        if exchange.request_class is None:
            detail = f"{req.method} {path}, model {model!r}: no class of the bundle"
            return _refuse(404, "no-class", detail)
        return _check_service(exchange)

    def _set_deadline(self, exchange):
        patience_s = exchange.bundle.patience_s(
            exchange.request_class, exchange.account, self._clock.wall()
        )
        exchange.deadline_s = exchange.arrived_s + patience_s
        if exchange.repeatable and isfinite(exchange.deadline_s):
            exchange.scope.deadline = exchange.deadline_s


def _is_chat(exchange):
    return exchange.request.path == CHAT_PATH


def _read_body(exchange):
    if not _is_chat(exchange):
        return None
    try:
        body = loads(exchange.request.body)
    except JSONDecodeError as exc:
        return _refuse(400, "no-json", f"the body is not JSON: {exc}")
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        return _refuse(400, "no-model", "the body names no model")
    try:
        dumps(body)
    except JSONEncodeError as exc:
        # Deeper than can be written again; the estimate of the demand would fail.
        return _refuse(400, "no-json", f"the body can't be passed on: {exc}")
    exchange.body = body
    exchange.wants_stream = body.get("stream") is True
    return None


def _check_service(exchange):
    service = exchange.bundle.services[exchange.request_class.service]
    if _is_chat(exchange):
        model = exchange.body["model"]
        if service.kind == ENGINE and model in service.models:
            return None
        return _refuse(404, "no-model", f"service {service.name} has no {model!r}")
    named = exchange.request.path.removeprefix(SERVICES_PREFIX).partition("/")[0]
    if named == service.name:
        return None
    return _refuse(404, "no-service", f"the class belongs to another than {named!r}")


def _set_key(exchange):
    if exchange.repeatable:
        return None
    # A streamed answer could not be kept whole before the caller has a part of it.
    exchange.wants_stream = False
    key = exchange.request.header(_KEY_HEADER)
    if not key:
        detail = f"{exchange.request_class.name} may not be repeated: Idempotency-Key"
        return _refuse(400, "no-idempotency-key", f"{detail} is missing")
    if len(key) > _KEY_CHARACTERS or not key.isprintable():
        detail = f"{len(key)} characters, at most {_KEY_CHARACTERS} printable ones"
        return _refuse(400, "bad-idempotency-key", detail)
    exchange.key = key
    return None


def _refuse(status, reason, detail):
    return Refusal(Verdict.NOT_RUN, status, reason, detail)
