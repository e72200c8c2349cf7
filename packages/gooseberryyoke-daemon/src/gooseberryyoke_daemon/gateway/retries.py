"""Decisions on further attempts of a gateway's requests, as counted and logged."""

import trio

from gooseberryyoke.retry import RetryDecision
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Retries"]


class Retries:
    """
    Asks the budget for further attempts, and tells what it answered.

    Parameters
    ----------
    budget : RetryBudget
        Of second attempts, which would otherwise multiply the load of servers that
        are sick.
    observer : GatewayObserver
    """

    __slots__ = ("_budget", "_observer")

    def __init__(self, budget, observer):
        self._budget = budget
        self._observer = observer

    def note_first(self, exchange):
        """
        Note that the first attempt of a request begins.

        Parameters
        ----------
        exchange : Exchange
        """
        self._budget.request_started()

    def has_one(self, exchange, cause):
        """
        Tell whether the budget has a retry for a request.

        Parameters
        ----------
        exchange : Exchange
        cause : str
            Why it would be tried again.

        Returns
        -------
        bool
        """
        if self._budget.balance >= 1.0:
            return True
        self._note(exchange, cause, RetryDecision.BUDGET_SPENT)
        return False

    def may_try_again(self, exchange):
        """
        Decide on a further attempt, and spend a retry if there may be one.

        Parameters
        ----------
        exchange : Exchange
            Whose last attempt has failed.

        Returns
        -------
        bool
        """
        if exchange.sends >= exchange.route.max_attempts:
            return False
        decision = self._budget.may_retry(
            exchange.verdict,
            exchange.route.may_repeat,
            exchange.deadline_s,
            0.0,
            trio.current_time(),
        )
        self._note(exchange, exchange.last_failure, decision)
        return decision.allowed

    def _note(self, exchange, cause, decision):
        self._observer.retry_decided(exchange.service, cause, decision.value)
        if decision is not RetryDecision.BUDGET_SPENT:
            return
        budget = self._budget
        log_event(
            "retry-budget-spent",
            level="warning",
            request=exchange.number,
            service=exchange.service,
            cause=cause,
            balance=round(budget.balance, 2),
            reserve=round(budget.reserve, 2),
            requests=budget.requests,
            retries=budget.retries,
        )
