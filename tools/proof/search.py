"""Searches seeds for schedules whose history can't be."""

from collections import Counter

from gooseberryyoke.record import Record
from tools.proof.profiles import PROFILES
from tools.proof.world import RegisterWorld

__all__ = ["RegisterReport", "search_registers"]


class RegisterReport(Record):
    """
    What a search found.

    Parameters
    ----------
    schedules, steps : int
    operations : Counter
        By outcome.
    injected : Counter
        Faults by kind.
    found : list of (int, list of str)
        Seeds with what was wrong.
    """

    __slots__ = ("schedules", "steps", "operations", "injected", "found")

    def __init__(self, schedules, steps, operations, injected, found):
        self.schedules = schedules
        self.steps = steps
        self.operations = operations
        self.injected = injected
        self.found = found


def search_registers(seeds, profile, size=3, operations=12, keys=1):
    """
    Run a schedule for each seed.

    Parameters
    ----------
    seeds : iterable of int
    profile : str
        One of `PROFILES`.
    size, operations, keys : int
        See `RegisterWorld`.

    Returns
    -------
    RegisterReport
    """
    report = RegisterReport(0, 0, Counter(), Counter(), [])
    for seed in seeds:
        world = RegisterWorld(seed, size, operations, keys, PROFILES[profile])
        faults = world.run()
        report.schedules += 1
        report.steps += world.steps
        report.operations += world.operations()
        report.injected += world.faults_injected
        if faults:
            report.found.append((seed, faults))
    return report
