"""Attempts per request while every server fails."""

from random import Random

from gooseberryyoke.balance import Demand, Fleet, LoadReport, choose
from gooseberryyoke.outcome import Verdict
from gooseberryyoke.retry import RetryBudget

__all__ = ["attempts_while_all_fail"]

SERVERS = 16
RATE_RPS = 30.0
PATIENCE_S = 10.0
ATTEMPT_S = 0.01


def attempts_while_all_fail(seed, requests=3000):
    """
    Send requests to servers that all refuse connections.

    Parameters
    ----------
    seed : int
    requests : int

    Returns
    -------
    float
        Attempts for each request.
    """
    rng = Random(seed)
    fleet = Fleet("a")
    for number in range(SERVERS):
        fleet.announced(f"s{number}", 1, "a", "engines", ["model"])
        fleet.reported(f"s{number}", LoadReport(1, 0.0, 8, 0, 32, 0.02), 0.0)
    budget, now, attempts = RetryBudget(), 0.0, 0
    for _ in range(requests):
        now += rng.expovariate(RATE_RPS)
        attempts += _one(fleet, budget, now, rng)
    return attempts / requests


def _one(fleet, budget, now, rng):
    demand = Demand("engines", "model", expected_tokens=100)
    deadline_s = now + PATIENCE_S
    tried = []
    budget.request_started()
    while True:
        choice = choose(fleet, demand, now, rng, tried).unwrap()
        tried.append(choice.server_id)
        fleet.dispatched(choice.server_id, "attempt", demand, now)
        fleet.failed(choice.server_id, "attempt", now)
        now += ATTEMPT_S
        finish_s = choice.predicted_finish_s
        if not budget.may_retry(
            Verdict.NOT_RUN, True, deadline_s, finish_s, now
        ).allowed:
            return len(tried)
