"""Runs of worlds that take the same course for the same seed."""

from functools import partial

import trio
import trio.testing

from gooseberryyoke_daemon.testing.seeding import seeded_scheduler

__all__ = ["run_seeded"]

_LONGEST_S = 100_000
"""Of the mock clock. A world that waits for ever ends there."""


def run_seeded(main, seed, make_world):
    """
    Run a world under the mock clock, with the same schedule for the same seed.

    Parameters
    ----------
    main : callable
        ``await main(world)``.
    seed : int
    make_world : callable
        Takes a nursery and gives the world, which has ``start``.

    Returns
    -------
    object
        The world, after its run.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    with seeded_scheduler(seed):
        return trio.run(partial(_run, main, make_world), clock=clock)


async def _run(main, make_world):
    with trio.fail_after(_LONGEST_S):
        async with trio.open_nursery() as nursery:
            world = make_world(nursery)
            await world.start()
            await main(world)
            nursery.cancel_scope.cancel()
    return world
