"""Decisions on further attempts of a request."""

from enum import Enum

from gooseberryyoke.outcome import Verdict

__all__ = ["RetryDecision", "decide_without_budget"]


class RetryDecision(Enum):
    """Decision to retry a request, or the reason not to."""

    RETRY = "retry"
    ALREADY_RAN = "already-ran"
    MAY_HAVE_RUN = "may-have-run"
    TOO_LATE = "too-late"
    BUDGET_SPENT = "budget-spent"

    @property
    def allowed(self):
        """Whether the request may be attempted again."""
        return self is RetryDecision.RETRY


def decide_without_budget(verdict, repeatable, deadline_s, predicted_s, now):
    """
    Decide whether a retry makes sense, regardless of any budget.

    Parameters
    ----------
    verdict : Verdict
        Combined verdict on all earlier attempts.
    repeatable : bool
        Whether the request may safely run twice.
    deadline_s : float
        Time by which the answer is due, on the clock of ``now``.
    predicted_s : float
        Predicted duration of the next attempt in seconds, to the end of the answer.
    now : float
        Time in seconds.

    Returns
    -------
    RetryDecision
        `RetryDecision.RETRY` if only the budget remains to be asked.
    """
    if verdict is Verdict.RAN:
        return RetryDecision.ALREADY_RAN
    if verdict is Verdict.MAY_HAVE_RUN and not repeatable:
        return RetryDecision.MAY_HAVE_RUN
    if now + predicted_s > deadline_s:
        return RetryDecision.TOO_LATE
    return RetryDecision.RETRY
