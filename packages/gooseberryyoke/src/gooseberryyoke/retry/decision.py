"""Whether a request may be attempted once more."""

from enum import Enum

__all__ = ["RetryDecision"]


class RetryDecision(Enum):
    """Whether a request may be attempted once more, or why it may not."""

    RETRY = "retry"
    ALREADY_RAN = "already-ran"
    MAY_HAVE_RUN = "may-have-run"
    TOO_LATE = "too-late"
    BUDGET_SPENT = "budget-spent"

    @property
    def allowed(self):
        """Whether to send the next attempt."""
        return self is RetryDecision.RETRY
