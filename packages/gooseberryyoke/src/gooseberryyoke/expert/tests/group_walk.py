"""Seeded random walks through what may happen to a `RankGroup`."""

from gooseberryyoke.expert.tests.rank_group import RankGroup, assert_healthy

__all__ = ["walk"]

NEWEST_MAIL = 0.8
MAIL = 0.65
RESTART = 0.04
CANCEL = 0.02
FREEZE = 0.05


def walk(rng, length=160, **group):
    """
    Let a group go astray for some actions, then bring it back to health.

    Parameters
    ----------
    rng : random.Random
    length : int
        Actions before the faults stop.
    **group
        Arguments of `RankGroup`.
    """
    world = RankGroup(**group)
    frozen = set()
    for _ in range(length):
        if rng.random() < FREEZE:
            frozen ^= {rng.randrange(len(world.drivers))}
        world = world.act(_pick(rng, world, frozen))
    assert_healthy(world)


def _pick(rng, world, frozen):
    if rng.random() < CANCEL:
        return ("cancel", rng.randrange(len(world.drivers)))
    if world.restarts and rng.random() < RESTART:
        return ("restart", rng.randrange(len(world.engines)))
    mail = [item for item in world.mail if item[0] not in frozen]
    if mail and rng.random() < MAIL:
        return ("mail", _pick_mail(rng, mail))
    actions = [item for item in world.actions() if item[0] not in ("mail", "restart")]
    return rng.choice(actions)


def _pick_mail(rng, mail):
    if rng.random() < NEWEST_MAIL:
        return mail[-1 - min(int(rng.expovariate(0.35)), len(mail) - 1)]
    return rng.choice(mail)
