"""What callers may ask: which address, and requests for the pipeline."""

from functools import partial
from itertools import count

from returns.result import Failure
from trio import Cancelled

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.entry.classify import CHAT_PATH, SERVICES_PREFIX
from gooseberryyoke_daemon.entry.delivery import Delivery
from gooseberryyoke_daemon.entry.exceptions import CallerGone
from gooseberryyoke_daemon.entry.exchange import Exchange
from gooseberryyoke_daemon.entry.fault import guarded
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.metrics import METRICS_TYPE
from gooseberryyoke_daemon.wire import Response, json_response, problem_response

__all__ = ["CallerRoutes"]

_DEADLINE_RETRY_S = 1.0
_TEXT = (("content-type", METRICS_TYPE),)


class CallerRoutes:
    """
    Routes of the callers' port.

    Parameters
    ----------
    numbers : str
        Start of each request's number; unique to this life of the entry.
    pipeline : Pipeline
    addresses : AddressBook
        The answer to "which address".
    observer : Observer
        Takes the figures of each exchange.
    nursery : trio.Nursery
        Requests that may not be repeated outlive their caller's connection.
    clock : Clock
    """

    def __init__(self, numbers, pipeline, addresses, observer, nursery, clock):
        self._numbers = (f"{numbers}-{number}" for number in count(1))
        self._pipeline = pipeline
        self._addresses = addresses
        self._observer = observer
        self._nursery = nursery
        self._clock = clock
        self._fixed = {
            "/v1/entries": self._entries,
            "/healthz": self._health,
            "/readyz": self._ready,
            "/metrics": self._metrics,
        }

    async def __call__(self, request):
        """
        Answer a caller.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response
        """
        path = request.path
        if path == CHAT_PATH or path.startswith(SERVICES_PREFIX):
            return await self._exchange(request)
        fixed = self._fixed.get(path)
        if fixed is None:
            return problem_response(_refuse(404, "not-found", f"no route {path}"))
        if request.method not in ("GET", "HEAD"):
            detail = f"{request.method} {path}, expected GET"
            return problem_response(
                _refuse(405, "method", detail), [("allow", "GET, HEAD")]
            )
        return fixed()

    def _entries(self):
        max_age_s = self._addresses.max_age_s
        headers = [("cache-control", f"max-age={max_age_s:g}")]
        body = {"entries": self._addresses.urls(), "max_age_s": max_age_s}
        return json_response(200, body, headers)

    def _health(self):
        return json_response(200, {"status": "alive"})

    def _ready(self):
        reason = self._addresses.unready_reason()
        if reason is None:
            return json_response(200, {"status": "ready"})
        return problem_response(_refuse(503, "not-ready", reason, 1.0))

    def _metrics(self):
        return Response(200, _TEXT, self._observer.render())

    async def _exchange(self, request):
        exchange = Exchange(next(self._numbers), request, None, self._clock.now())
        exchange.delivery = Delivery(on_close=lambda: _leave(exchange))
        self._nursery.start_soon(self._run, exchange)
        try:
            return await exchange.delivery.ready()
        except Cancelled:
            _leave(exchange)
            raise

    async def _run(self, exchange):
        result = None
        self._observer.exchange_began()
        with exchange.scope:
            result = await self._answer(exchange)
        if exchange.scope.cancelled_caught:
            result = Failure(_too_late(exchange))
        exchange.delivery.finish(result)
        self._observer.exchange_ended(exchange, result, self._clock.now())

    async def _answer(self, exchange):
        return await guarded(exchange, partial(self._follow, exchange))

    async def _follow(self, exchange):
        try:
            return await self._pipeline(exchange)
        except CallerGone:
            log_event("caller-gone", request=exchange.number)
            return Failure(_gone(exchange))


def _leave(exchange):
    if exchange.repeatable:
        exchange.scope.cancel()


def _too_late(exchange):
    detail = "the patience of this hour has run out"
    return Refusal(exchange.verdict, 504, "deadline-passed", detail, _DEADLINE_RETRY_S)


def _gone(exchange):
    return Refusal(exchange.verdict, 499, "caller-gone", "the caller has left")


def _refuse(status, reason, detail, retry_after_s=None):
    return Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s)
