"""Filter: calls that may not be repeated run at most once for each key."""

from functools import partial, singledispatchmethod

from returns.result import Failure, Success
from trio import Event, move_on_at

from gooseberryyoke.claim import RejectMayHaveRun, RejectMismatch, ReplayAnswer, Wait
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.claims import Proceed
from gooseberryyoke_daemon.entry.answer import Answer
from gooseberryyoke_daemon.entry.claim_support import (
    CONTENDED,
    RETRY_S,
    digest_of,
    no_majority,
)
from gooseberryyoke_daemon.entry.fault import guarded
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Claim"]

_ROUNDS = 8


class Claim:
    """
    Resolves the claim of a key, and gives the kept answer or goes on.

    Parameters
    ----------
    resolver : ClaimResolver
    nursery : trio.Nursery
    clock : Clock

    Notes
    -----
    The claim is looked up before anything is admitted, since a kept answer costs
    no backend server anything. The work goes on after its caller has left or has
    run out of patience: cut half-way, nobody could tell any more whether it ran.
    """

    __slots__ = ("_clock", "_nursery", "_resolver")

    def __init__(self, resolver, nursery, clock):
        self._resolver = resolver
        self._nursery = nursery
        self._clock = clock

    async def __call__(self, exchange, proceed):
        """Answer within the caller's patience, whatever the work takes."""
        if exchange.key is None:
            return await proceed()
        work = _Work()
        self._nursery.start_soon(self._work, exchange, proceed, work)
        with move_on_at(exchange.deadline_s):
            await work.done.wait()
            return work.result
        return Failure(_give_up(exchange))

    async def _work(self, exchange, proceed, work):
        try:
            work.result = await guarded(
                exchange, partial(self._resolve, exchange, proceed)
            )
        finally:
            if work.result is None:
                refusal = Refusal(
                    exchange.verdict, 503, "stopping", "the entry stops", RETRY_S
                )
                work.result = Failure(refusal)
            work.done.set()

    async def _resolve(self, exchange, proceed):
        exchange.digest = digest_of(exchange.request)
        for _ in range(_ROUNDS):
            # Until the claim is known, the same request may be running elsewhere.
            exchange.claim_version, before = None, exchange.verdict
            exchange.verdict = Verdict.MAY_HAVE_RUN
            left_s = exchange.left_s(self._clock.now())
            resolved = await self._resolver.resolve(
                exchange.account.name, exchange.key, exchange.digest, left_s
            )
            exchange.verdict = before
            if isinstance(resolved, Failure):
                return Failure(no_majority(exchange, resolved.failure()))
            result = await self._follow(resolved.unwrap(), exchange, proceed)
            # Another request with the same key was quicker: see what it has done.
            if not _is_contended(result):
                return result
        return result

    @singledispatchmethod
    async def _follow(self, decision, exchange, proceed):
        raise TypeError(f"{decision!r} is not a decision on a claim")

    @_follow.register
    async def _(self, decision: Proceed, exchange, proceed):
        exchange.claim_version = decision.version
        return await proceed()

    @_follow.register
    async def _(self, decision: ReplayAnswer, exchange, proceed):
        kept = decision.answer
        log_event("kept-answer", request=exchange.number)
        if kept.body is None:
            detail = "the request has run, but its answer was too long to keep"
            return Failure(Refusal(Verdict.RAN, 410, "answer-not-kept", detail))
        answer = Answer(
            kept.status, kept.headers, kept.body, Verdict.RAN, kept.until_close
        )
        return Success(answer)

    @_follow.register
    async def _(self, decision: RejectMismatch, exchange, proceed):
        detail = "this Idempotency-Key belongs to another request"
        return Failure(Refusal(Verdict.NOT_RUN, 422, "key-reused", detail))

    @_follow.register
    async def _(self, decision: RejectMayHaveRun, exchange, proceed):
        refusal = Refusal(Verdict.MAY_HAVE_RUN, 409, "outcome-unknown", decision.detail)
        return Failure(refusal)

    @_follow.register
    async def _(self, decision: Wait, exchange, proceed):
        exchange.verdict = Verdict.MAY_HAVE_RUN
        return Failure(_still_running(exchange))


class _Work:
    """Result of work that may outlive its caller's patience."""

    __slots__ = ("done", "result")

    def __init__(self):
        self.done = Event()
        self.result = None


def _give_up(exchange):
    # From here on nothing is dispatched: work that went on to its dispatch would
    # run a call whose caller has just been told that it did not.
    exchange.given_up = True
    if exchange.verdict is not Verdict.NOT_RUN:
        return _still_running(exchange)
    detail = "the patience of this hour ran out before the dispatch"
    return Refusal(exchange.verdict, 504, "deadline-passed", detail, RETRY_S)


def _still_running(exchange):
    detail = "the outcome is open; ask again with the same Idempotency-Key"
    return Refusal(exchange.verdict, 504, "still-running", detail, RETRY_S)


def _is_contended(result):
    return isinstance(result, Failure) and result.failure().reason == CONTENDED
