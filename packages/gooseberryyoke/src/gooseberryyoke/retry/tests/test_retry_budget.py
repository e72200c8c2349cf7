import pytest

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.retry import RetryBudget, RetryDecision

NOW = 10.0


def ask(budget, verdict=Verdict.NOT_RUN, repeatable=True, deadline_s=20.0):
    return budget.may_retry(verdict, repeatable, deadline_s, 2.0, NOW)


@pytest.mark.parametrize(
    "verdict, repeatable, decision",
    [
        (Verdict.NOT_RUN, False, RetryDecision.RETRY),
        (Verdict.NOT_RUN, True, RetryDecision.RETRY),
        (Verdict.MAY_HAVE_RUN, True, RetryDecision.RETRY),
        (Verdict.MAY_HAVE_RUN, False, RetryDecision.MAY_HAVE_RUN),
        (Verdict.RAN, True, RetryDecision.ALREADY_RAN),
    ],
)
def test_only_requests_that_did_not_run_or_are_repeatable_are_retried(
    verdict, repeatable, decision
):
    assert ask(RetryBudget(), verdict, repeatable) is decision


def test_no_retry_past_the_deadline():
    budget = RetryBudget()
    assert ask(budget, deadline_s=11.9) is RetryDecision.TOO_LATE
    assert budget.may_reroute(0, 11.9, 2.0, NOW) is RetryDecision.TOO_LATE
    assert ask(budget, deadline_s=12.0).allowed


def test_retries_are_bounded_if_all_servers_fail():
    """
    Guards against a retry storm when every attempt fails for a long time.

    Callers see the failures. There are at most 1.1 attempts per request because
    retries are earned by requests.
    """
    budget = RetryBudget()
    attempts = 0
    for _ in range(1000):
        budget.request_started()
        attempts += 1
        while ask(budget).allowed:
            attempts += 1
    assert 1.05 < attempts / 1000 <= 1.1
    assert ask(budget) is RetryDecision.BUDGET_SPENT


def test_reroutes_are_limited_and_do_not_spend_the_budget():
    budget = RetryBudget(reserve=0.0)
    decisions = [budget.may_reroute(n, 20.0, 2.0, NOW) for n in range(4)]
    assert [decision.allowed for decision in decisions] == [True, True, True, False]
