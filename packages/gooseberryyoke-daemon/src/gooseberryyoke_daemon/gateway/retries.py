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
    budgets : ServiceRetryBudgets
        Of further attempts, which would otherwise multiply the load of servers that
        are sick.
    observer : GatewayObserver
    """

    __slots__ = ("_budgets", "_observer")

    def __init__(self, budgets, observer):
        self._budgets = budgets
        self._observer = observer

    def note_request(self, exchange):
        """
        Note a request whose first attempt begins.

        Parameters
        ----------
        exchange : Exchange
        """
        self._budgets.record_request(exchange.service, exchange.received_s)

    def has_retry(self, exchange, cause):
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
        if self._state(exchange).has_retry:
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
        decision = self._budgets.may_retry(
            exchange.service,
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
        state = self._state(exchange)
        log_event(
            "retry-budget-spent",
            level="warning",
            request=exchange.number,
            service=exchange.service,
            cause=cause,
            requests=state.requests,
            retries=state.retries,
            earned=round(state.earned, 1),
            share=round(state.share, 1),
            gateways=state.gateways,
        )

    def _state(self, exchange):
        return self._budgets.state(exchange.service, trio.current_time())
