"""Retry budgets of a gateway, one for each service."""

from gooseberryyoke.record import Record
from gooseberryyoke.retry.decision import RetryDecision, decide_without_budget
from gooseberryyoke.retry.sliding_count import SlidingCount

__all__ = ["BudgetState", "ServiceRetryBudgets"]

_EARNED_FRACTION = 0.5
"""Fraction of the ratio that requests earn. The windows of different gateways overlap:
requests of two successive windows may earn retries that are all sent in one."""


class BudgetState(Record):
    """
    State of the retry budget for one service.

    Parameters
    ----------
    requests, retries : int
        Number in the window that ends now.
    earned, share : float
        Retries that these requests have earned, and those of the gateway's share.
    gateways : int
        Number of gateways that the slack is divided among.
    """

    __slots__ = ("requests", "retries", "earned", "share", "gateways")

    def __init__(self, requests, retries, earned, share, gateways):
        self.requests = requests
        self.retries = retries
        self.earned = earned
        self.share = share
        self.gateways = gateways

    @property
    def has_retry(self):
        """Whether one more retry is within the budget."""
        return self.retries + 1 <= self.earned + self.share


class _Counts:
    __slots__ = ("requests", "retries")

    def __init__(self, limit):
        self.requests = SlidingCount(limit.window_s)
        self.retries = SlidingCount(limit.sending_window_s)


class ServiceRetryBudgets:
    """
    Retry budgets of one gateway, one for each service.

    In any window, the retries at a service are at most a fraction of the requests for
    it that arrived at this gateway, and this gateway's share of the slack. Summed over
    all gateways, these bounds add up to at most the limit.

    Parameters
    ----------
    limit : RetryLimit
        Bound on the retries at each service, over all gateways.
    share : RetryShare
    """

    __slots__ = ("_limit", "_share", "_counts")

    def __init__(self, limit, share):
        self._limit = limit
        self._share = share
        self._counts = {}

    def _counts_of(self, service):
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = _Counts(self._limit)
        return counts

    def use_services(self, services, now):
        """
        Forget services that no route leads to, unless they had retries in the window.

        Parameters
        ----------
        services : collection of str
        now : float
            Current time, in seconds.
        """
        self._counts = {
            name: counts
            for name, counts in self._counts.items()
            if name in services or counts.retries.at_most(now)
        }

    def record_request(self, service, at_s):
        """
        Record a request of which a first attempt is made.

        Parameters
        ----------
        service : str
        at_s : float
            Time at which the caller's request arrived, in seconds.
        """
        self._counts_of(service).requests.add(at_s)

    def state(self, service, now):
        """
        Return the state of the budget for a service.

        Parameters
        ----------
        service : str
        now : float
            Current time, in seconds.

        Returns
        -------
        BudgetState
        """
        counts, share = self._counts_of(service), self._share
        requests = counts.requests.at_least(now)
        return BudgetState(
            requests,
            counts.retries.at_most(now),
            _EARNED_FRACTION * self._limit.ratio * requests,
            share.retries(now),
            share.gateways,
        )

    def may_retry(self, service, verdict, repeatable, deadline_s, predicted_s, now):
        """
        Decide on a retry, and spend one from the budget if it is allowed.

        Parameters
        ----------
        service : str
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
        if not self.state(service, now).has_retry:
            return RetryDecision.BUDGET_SPENT
        self._counts_of(service).retries.add(now)
        return RetryDecision.RETRY
