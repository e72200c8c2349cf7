from random import Random

import pytest

from gooseberryyoke.balance import LoadReport
from gooseberryyoke.balance.pace import Pace


def report(step_s, running=32):
    return LoadReport(1, 0.0, running, 0, 32, step_s)


def test_noise_of_single_reports_is_smoothed():
    """
    A step with prefill takes twice as long as one without.

    Reports catch one or the other by chance. A choice by the newest report
    would swing between servers that are alike.
    """
    rng, pace = Random(1), Pace()
    for _ in range(200):
        pace.learn(report(0.032 * rng.choice((0.7, 1.3))))
    assert pace.slot_step_s(report(0.032)) == pytest.approx(0.0005, rel=0.15)


def test_server_that_becomes_a_straggler_is_seen_within_three_reports():
    pace = Pace()
    for _ in range(200):
        pace.learn(report(0.032))
    for _ in range(3):
        pace.learn(report(0.096))
    assert pace.slot_step_s(report(0.096)) > 1.5 * 0.0005


def test_idle_server_is_no_straggler():
    """
    An idle server goes on reporting the step time of its last, full batch.

    Taken for the time of an empty batch it would look twice as slow as it is
    and get no requests, so that it would never report otherwise.
    """
    pace = Pace()
    pace.learn(report(0.032))
    for _ in range(100):
        pace.learn(report(0.032, running=0))
    assert pace.slot_step_s(report(0.032, running=0)) == pytest.approx(0.0005)
