import pytest

from tools.bench.policy_case import Options
from tools.bench.policy_failures import attempts_while_all_fail
from tools.bench.policy_figures import run
from tools.bench.policy_load import AUSTRAL, CELINS


def play(load, policy="least-cost", part=0.9, **options):
    return run(Options(load, policy, part, seed=1, duration_s=25.0, **options))


@pytest.mark.parametrize("load", [CELINS, AUSTRAL])
def test_chosen_policy_beats_the_baselines(load):
    chosen = play(load)
    for baseline in ("least-outstanding", "power-of-two"):
        other = play(load, baseline)
        assert chosen["in_time"] > other["in_time"]
        assert chosen["hit_share"] > other["hit_share"]


def test_flood_of_the_largest_account():
    """
    The largest account sends ten times its usual load, through one entry.

    The others are refused and late when nothing is shared out. With shares,
    and with entries that tell each other what accounts use, they get nearly
    all their answers in time.
    """
    flood = {"part": 0.7, "flood": 10.0, "flood_entry": 0}
    unshared = play(CELINS, shares=False, **flood)["in_time_others"]
    assert play(CELINS, **flood)["in_time_others"] > max(0.98, unshared)


def test_attempts_while_all_servers_fail():
    assert 1.0 < attempts_while_all_fail(seed=1, requests=1000) <= 1.1
