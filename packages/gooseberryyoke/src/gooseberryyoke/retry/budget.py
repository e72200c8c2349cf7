"""Retry budget, which limits the load caused by retries."""

from gooseberryyoke.retry.decision import RetryDecision, decide_without_budget

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.08
RESERVE = 3.0
MAX_REROUTES = 3


class RetryBudget:
    """
    Retry budget of one entry.

    The first attempt of each request earns a fraction of a retry, and each retry
    spends one.

    Parameters
    ----------
    retries_per_request : float
        Fraction of a retry earned by each request.
    reserve : float
        Maximum balance, in retries. It is also the initial balance, so that an
        entry with little traffic can retry at all.

    Notes
    -----
    With N requests there are at most
    ``N * (1 + retries_per_request) + reserve`` attempts.
    """

    __slots__ = (
        "retries_per_request",
        "reserve",
        "balance",
        "requests",
        "retries",
    )

    def __init__(self, retries_per_request=RETRIES_PER_REQUEST, reserve=RESERVE):
        self.retries_per_request = retries_per_request
        self.reserve = reserve
        self.balance = reserve
        self.requests = 0
        self.retries = 0

    def request_started(self):
        """Record the first attempt of a request."""
        self.requests += 1
        self.balance = min(self.reserve, self.balance + self.retries_per_request)

    def may_retry(self, verdict, repeatable, deadline_s, predicted_s, now):
        """
        Decide on a retry, and spend one from the budget if it is allowed.

        Parameters
        ----------
        verdict, repeatable, deadline_s, predicted_s, now
            See `decide_without_budget`.

        Returns
        -------
        RetryDecision
        """
        decision = decide_without_budget(
            verdict, repeatable, deadline_s, predicted_s, now
        )
        if decision is not RetryDecision.RETRY:
            return decision
        if self.balance < 1.0:
            return RetryDecision.BUDGET_SPENT
        self.balance -= 1.0
        self.retries += 1
        return RetryDecision.RETRY

    def may_reroute(self, rerouted, deadline_s, predicted_s, now):
        """
        Decide on an attempt at another server after an agent's refusal.

        Such attempts do not spend from the budget.

        Parameters
        ----------
        rerouted : int
            Number of times the request has been rerouted already.
        deadline_s, predicted_s, now : float
            As for `may_retry`.

        Returns
        -------
        RetryDecision

        Notes
        -----
        During a planned shutdown, agents refuse requests that other servers could
        answer. Such a refusal costs almost nothing and guarantees that the request
        has not run, so it must not use up the budget for failures. The limit per
        request, `MAX_REROUTES`, keeps it from being rerouted indefinitely.
        """
        if now + predicted_s > deadline_s:
            return RetryDecision.TOO_LATE
        if rerouted >= MAX_REROUTES:
            return RetryDecision.BUDGET_SPENT
        return RetryDecision.RETRY
