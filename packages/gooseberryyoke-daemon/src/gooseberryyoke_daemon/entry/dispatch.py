"""Filter: carries the attempt to the agent and its answer to the delivery."""

from functools import partial

from returns.result import Failure, Success
from trio import Cancelled

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.entry.demand import answer_tokens
from gooseberryyoke_daemon.entry.exceptions import (
    AnswerDiffers,
    CallerGone,
    EndNotTold,
)
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Dispatch"]

# Refusals that say nothing about the health of the backend server.
_NOT_A_FAULT = frozenset(
    [
        "agent-full",
        "barred",
        "end-not-told",
        "leaving",
        "old-bundle",
        "server-paused",
        "stale-order",
        "taken",
    ]
)
# Answers of a server that may be out of order, while another one isn't.
_SERVER_DOWN = frozenset([502, 503, 504])


class Dispatch:
    """
    Runs the attempt; the last filter.

    Parameters
    ----------
    link : AgentLink
    fleet : Fleet
    in_flight : InFlight
        Attempts that this entry waits for.
    sizes : AnswerSizes
        Learns from whole answers.
    clock : Clock
    """

    __slots__ = ("_clock", "_fleet", "_in_flight", "_link", "_sizes")

    def __init__(self, link, fleet, in_flight, sizes, clock):
        self._link = link
        self._fleet = fleet
        self._in_flight = in_flight
        self._sizes = sizes
        self._clock = clock

    async def __call__(self, exchange, proceed):
        """Run the attempt and note its end, however it comes."""
        if exchange.given_up:
            detail = "the caller has its final answer already"
            return Failure(Refusal(exchange.verdict, 504, "deadline-passed", detail))
        server, number = exchange.server.name, exchange.order.attempt
        before, exchange.verdict = exchange.verdict, Verdict.MAY_HAVE_RUN
        now = self._clock.now()
        if exchange.dispatched_s is None:
            exchange.dispatched_s = now
        self._fleet.dispatched(
            server, number, exchange.demand, now, exchange.cached_tokens
        )
        self._in_flight.add(server, number)
        log_event("dispatch", request=exchange.number, attempt=number, server=server)
        try:
            result = await self._run(exchange)
        except (Cancelled, CallerGone):
            self._fleet.finished(server, number, self._clock.now())
            raise
        finally:
            self._in_flight.discard(server, number)
        self._note_end(exchange, result)
        if isinstance(result, Failure):
            refusal = result.failure()
            exchange.verdict = before.then(refusal.verdict)
            return Failure(refusal.replace(verdict=exchange.verdict))
        answer = result.unwrap()
        if exchange.repeatable and answer.status in _SERVER_DOWN:
            self._fleet.failed(server, number, self._clock.now())
            return Failure(_server_down(answer))
        exchange.verdict = answer.verdict
        if answer.verdict is Verdict.RAN:
            tokens = answer_tokens(exchange.delivery)
            self._sizes.learn(exchange.request_class.name, tokens)
        return Success(answer)

    async def _run(self, exchange):
        started = partial(
            self._fleet.first_token, exchange.server.name, exchange.order.attempt
        )
        exchange.delivery.begin_attempt(exchange.wants_stream, started)
        try:
            ended = await self._link.run(
                exchange.server, exchange.order, exchange.delivery, exchange.deadline_s
            )
            return ended.map(lambda _: exchange.delivery.take_answer())
        except AnswerDiffers as exc:
            detail = f"the answer of another server differs: {exc}"
            return Failure(
                Refusal(Verdict.MAY_HAVE_RUN, 502, "answer-differs", detail, 1.0)
            )
        except EndNotTold as exc:
            return Failure(
                Refusal(Verdict.MAY_HAVE_RUN, 502, "end-not-told", str(exc), 1.0)
            )

    def _note_end(self, exchange, result):
        server, number = exchange.server.name, exchange.order.attempt
        now = self._clock.now()
        if isinstance(result, Success):
            self._fleet.finished(server, number, now)
            return
        reason = result.failure().reason
        log_event("attempt-failed", request=exchange.number, attempt=number, why=reason)
        if reason in _NOT_A_FAULT:
            self._fleet.finished(server, number, now)
        else:
            self._fleet.failed(server, number, now)
        if reason == "leaving":
            self._fleet.mark_leaving(server)
        if reason == "server-paused":
            self._fleet.paused(server, now + (result.failure().retry_after_s or 0.0))


def _server_down(answer):
    detail = f"the backend server answered with status {answer.status}"
    return Refusal(Verdict.MAY_HAVE_RUN, 502, "server-unavailable", detail, 1.0)
