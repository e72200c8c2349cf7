"""Processor time of one decision, by the number of servers."""

from random import Random
from statistics import median
from time import perf_counter

from gooseberryyoke.admission import Admission
from gooseberryyoke.balance import POLICIES, Demand, Fleet, LoadReport, choose

__all__ = ["SIZES", "cost_us"]

SIZES = (16, 100, 400, 2300)
DATA_CENTRES = 24
PREFIXES = 500
BLOCKS = 24
ROUNDS, PER_ROUND = 7, 200
ACCOUNTS = 10


def cost_us(policy, servers, seed):
    """
    Measure a choice with its admission, dispatch and end.

    Parameters
    ----------
    policy : str
        Name of the policy.
    servers : int
    seed : int

    Returns
    -------
    float
        Microseconds, median of several rounds.
    """
    rng = Random(seed)
    fleet = _fleet(servers, rng)
    demands = [_demand(number) for number in range(PREFIXES)]
    admission = Admission()
    rounds = [
        _round(policy, fleet, admission, demands, turn, rng) for turn in range(ROUNDS)
    ]
    return median(rounds)


def _fleet(servers, rng):
    centres = min(DATA_CENTRES, max(3, servers // 100))
    fleet = Fleet("c0")
    for number in range(servers):
        name = f"s{number}"
        fleet.announced(name, 1, f"c{number % centres}", "engines", ["model"])
        running = rng.randrange(10, 40)
        report = LoadReport(1, 0.0, min(running, 32), max(0, running - 32), 32, 0.02)
        fleet.reported(name, report, 0.0)
    return fleet


def _demand(number):
    digests = [number * 1000 + block for block in range(BLOCKS)]
    return Demand("engines", "model", digests, BLOCKS * 64 + 100, 150, 1, 1e9)


def _round(policy, fleet, admission, demands, turn, rng):
    started = perf_counter()
    for number in range(PER_ROUND):
        now = turn * 0.3 + number * 0.001
        demand = demands[rng.randrange(PREFIXES)]
        choice = choose(fleet, demand, now, rng, (), POLICIES[policy]).unwrap()
        account = f"account-{number % ACCOUNTS}"
        admitted = admission.admit(
            account, 1.0, "draft", demand, choice, demand.deadline_s, now
        )
        attempt = (turn, number)
        fleet.dispatched(choice.server_id, attempt, demand, now, choice.cached_tokens)
        fleet.first_token(choice.server_id, attempt, now)
        fleet.finished(choice.server_id, attempt, now)
        admitted.map(lambda ticket, now=now: admission.release(ticket, now))
    return (perf_counter() - started) / PER_ROUND * 1e6
