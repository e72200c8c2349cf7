from random import Random

import pytest

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.retry import (
    RetryDecision,
    RetryLimit,
    RetryLimitCheck,
    RetryShare,
    ServiceRetryBudgets,
)
from gooseberryyoke.retry.tests.gateway_walk import GatewayWalk

LIMIT = RetryLimit(ratio=0.2, slack=20.0, window_s=10.0)
LISTED_S = 13.0
"""After this time, a gateway that was listed from the start has its share."""


def listed_share(limit=LIMIT, gateways=1):
    share = RetryShare(limit)
    names = [f"g{number}" for number in range(gateways)]
    for tenth in range(round(10 * LISTED_S) + 1):
        share.update_gateways(names, tenth / 10)
        share.record_listed(tenth / 10)
    return share


def ask(budgets, now, service="s", **changes):
    fields = {
        "verdict": Verdict.MAY_HAVE_RUN,
        "repeatable": True,
        "deadline_s": now + 5.0,
        "predicted_s": 0.0,
        **changes,
    }
    return budgets.may_retry(service, now=now, **fields)


def spend(budgets, now, service="s"):
    """Return the number of retries that are allowed at once."""
    count = 0
    while ask(budgets, now, service).allowed:
        count += 1
    return count


@pytest.mark.parametrize("seed", range(40))
def test_retries_of_all_gateways_stay_within_the_limit(seed):
    # Guards against shares that add up to more than the slack: gateways start, are cut
    # off, replaced or told of few, and each request fails at every server.
    walk = GatewayWalk(seed)
    walk.run()
    assert walk.retries > 0
    assert walk.violations() == []


@pytest.mark.parametrize(
    "gateways, requests_per_second, slack",
    [
        (4, 45, 88),
        (13, 145, 192),
        (13, 10, 200),
        (16, 133, 220),
        (39, 260, 440),
        (47, 146, 301),
        (300, 60, 88),
    ],
)
def test_many_gateways_share_the_slack_while_all_servers_fail(
    gateways, requests_per_second, slack
):
    # Guards against reserves that add up to more than the slack, at any number of
    # gateways and requests.
    limit = RetryLimit(slack=slack)
    check, rng = RetryLimitCheck(limit), Random(gateways)
    budgets = [
        ServiceRetryBudgets(limit, listed_share(limit, gateways))
        for _ in range(gateways)
    ]
    for number in range(8 * requests_per_second):
        now = LISTED_S + number / requests_per_second
        check.record_request(now)
        check.record_arrival(number, now)
        own = rng.choice(budgets)
        own.record_request("s", now)
        while ask(own, now).allowed:
            check.record_arrival(number, now)
    assert check.violations() == []
    if slack >= 2 * gateways:
        assert check.retries > slack / 2


def test_a_share_is_spent_once_in_a_window_and_then_restored():
    budgets = ServiceRetryBudgets(LIMIT, listed_share())
    assert spend(budgets, LISTED_S) == LIMIT.slack
    assert spend(budgets, LISTED_S + 9.9) == 0
    budgets = ServiceRetryBudgets(LIMIT, share := listed_share())
    spend(budgets, LISTED_S)
    for second in range(14):
        share.record_listed(LISTED_S + second)
    assert spend(budgets, LISTED_S + 13.0) == LIMIT.slack


def test_services_do_not_share_a_budget():
    budgets = ServiceRetryBudgets(LIMIT, RetryShare(LIMIT))
    for _ in range(100):
        budgets.record_request("busy", 1.0)
    assert spend(budgets, 2.0, "small") == 0
    assert spend(budgets, 2.0, "busy") == 10


def test_requests_earn_retries_right_after_a_start():
    # Guards against single failures after a start that are never retried.
    budgets = ServiceRetryBudgets(LIMIT, RetryShare(LIMIT))
    for _ in range(10):
        budgets.record_request("s", 0.1)
    assert ask(budgets, 0.2) is RetryDecision.RETRY
    assert ask(budgets, 0.3) is RetryDecision.BUDGET_SPENT


def test_old_requests_earn_nothing():
    budgets = ServiceRetryBudgets(LIMIT, RetryShare(LIMIT))
    for _ in range(100):
        budgets.record_request("s", 1.0)
    assert spend(budgets, 12.0) == 0


def test_a_service_that_leaves_the_table_and_returns_has_no_new_budget():
    # Guards against a changing route table that restores spent retries.
    budgets = ServiceRetryBudgets(LIMIT, listed_share())
    assert spend(budgets, LISTED_S) == LIMIT.slack
    budgets.use_services([], LISTED_S + 1.0)
    assert spend(budgets, LISTED_S + 2.0) == 0


@pytest.mark.parametrize(
    "changes, decision",
    [
        ({"verdict": Verdict.RAN}, RetryDecision.ALREADY_RAN),
        ({"repeatable": False}, RetryDecision.MAY_HAVE_RUN),
        ({"deadline_s": 0.0}, RetryDecision.TOO_LATE),
    ],
)
def test_a_retry_that_makes_no_sense_spends_nothing(changes, decision):
    budgets = ServiceRetryBudgets(LIMIT, listed_share())
    assert ask(budgets, LISTED_S, **changes) is decision
    assert budgets.state("s", LISTED_S).retries == 0
