"""Retries: which requests, how many, and until when."""

from gooseberryyoke.retry.budget import RetryBudget
from gooseberryyoke.retry.decision import RetryDecision

__all__ = ["RetryBudget", "RetryDecision"]
