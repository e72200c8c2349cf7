"""Filter: further attempts, where that can't run anything twice."""

from returns.result import Success

from gooseberryyoke_daemon.entry.claim_support import CONTENDED, NO_MAJORITY
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Retry"]

_REROUTED = frozenset(["leaving", "agent-full", "other-incarnation", "server-paused"])
_NONE_LEFT = frozenset(["all-tried", "servers-paused"])
_LEFT_TO_OTHERS = frozenset([CONTENDED, NO_MAJORITY, "old-bundle"])
_KEPT_BACK = frozenset(["request-suspected", "request-quarantined"])
"""Refusals of `CrashLimit`, which would refuse the next attempt as well."""


class Retry:
    """
    Repeats the rest of the pipeline within the budget.

    Parameters
    ----------
    budget : RetryBudget
    clock : Clock
    """

    __slots__ = ("_budget", "_clock")

    def __init__(self, budget, clock):
        self._budget = budget
        self._clock = clock

    async def __call__(self, exchange, proceed):
        """Run attempts until one is answered or no more may be made."""
        limits = exchange.bundle.retries
        self._budget.retries_per_request = limits.ratio
        self._budget.request_started()
        rerouted, before = 0, None
        while True:
            result = await proceed()
            if isinstance(result, Success):
                return result
            refusal = result.failure()
            if refusal.reason in _NONE_LEFT and before is not None:
                # Why the last server failed says more than that none is left.
                return before
            before = result
            if exchange.server is None or exchange.attempts >= limits.attempts:
                return result
            if refusal.reason in _LEFT_TO_OTHERS | _KEPT_BACK:
                return result
            decision = self._decide(exchange, refusal, rerouted)
            rerouted += refusal.reason in _REROUTED
            if not decision.allowed:
                return result
            log_event(
                "retry",
                request=exchange.number,
                reason=refusal.reason,
                server=exchange.server.name,
            )

    def _decide(self, exchange, refusal, rerouted):
        now = self._clock.now()
        if refusal.reason in _REROUTED:
            return self._budget.may_reroute(rerouted, exchange.deadline_s, 0.0, now)
        return self._budget.may_retry(
            exchange.verdict, exchange.repeatable, exchange.deadline_s, 0.0, now
        )
