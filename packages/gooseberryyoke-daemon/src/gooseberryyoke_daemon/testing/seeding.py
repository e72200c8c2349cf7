"""Runs of trio that take the same course each time."""

from contextlib import contextmanager
from random import Random

from trio._core import _run as scheduler

__all__ = ["seeded_scheduler"]


@contextmanager
def seeded_scheduler(seed):
    """
    Have tasks take their turns in an order that the seed alone decides.

    Parameters
    ----------
    seed : int
    """
    # trio has no public way to fix the order in which ready tasks take their turns.
    before = scheduler._ALLOW_DETERMINISTIC_SCHEDULING, scheduler._r
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING, scheduler._r = True, Random(seed)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING, scheduler._r = before
