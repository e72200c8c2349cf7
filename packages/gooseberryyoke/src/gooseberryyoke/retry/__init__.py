"""Retry budgets and decisions on further attempts of a request."""

from gooseberryyoke.retry.budget import RetryBudget
from gooseberryyoke.retry.decision import RetryDecision
from gooseberryyoke.retry.limit import RetryLimit
from gooseberryyoke.retry.limit_check import RetryLimitCheck
from gooseberryyoke.retry.service_budgets import ServiceRetryBudgets
from gooseberryyoke.retry.share import RetryShare

__all__ = [
    "RetryBudget",
    "RetryDecision",
    "RetryLimit",
    "RetryLimitCheck",
    "RetryShare",
    "ServiceRetryBudgets",
]
