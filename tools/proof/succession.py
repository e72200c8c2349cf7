"""A seat on its way from a holder that stops to its successor, a call at a time."""

from gooseberryyoke.register.changes import (
    FloorRaised,
    Identified,
    Joined,
    Resumed,
    SeatNamed,
    SeatTaken,
    SlotStored,
)
from gooseberryyoke.register.messages import (
    Copy,
    CopyPage,
    HandingOver,
    HandOver,
    Release,
    Released,
)
from gooseberryyoke.register.state import HANDED_OVER
from tools.proof.world_replica import WorldReplica

__all__ = ["Succession"]

_ADDRESS = "successor"
_PAGE_SLOTS = 1
_LINGER_PART = 0.7
"""Of the steps after the copy, at which the successor does nothing."""
_GIVEN_UP_PART = 0.1
"""Of the steps at which the successor is lost."""
_TAKEN_BACK_PART = 0.05
"""Of the steps at which the holder has lost its patience."""
_FOLDER_STAYS_PART = 0.5
"""Of the former holders, whose folders come back later."""


class Succession:
    """
    One attempt to hand a seat over.

    Parameters
    ----------
    world : RegisterWorld
    holder : WorldReplica
    """

    def __init__(self, world, holder):
        self._world = world
        self._holder = holder
        self._successor = None
        self._steps = self._run()

    def go_on(self):
        """
        Take a step.

        Returns
        -------
        bool
            False once the attempt has ended.
        """
        return next(self._steps, None) is not None

    def has_copied(self, replica):
        """Tell whether a replica is the holder, and its successor's copy is whole."""
        return replica is self._holder and self._successor is not None

    def _run(self):
        rng = self._world.rng
        yield from self._copy()
        while rng.random() < _LINGER_PART:
            yield True
        if self._successor is None or rng.random() < _GIVEN_UP_PART:
            self._take_back()
            return
        identity = self._successor.state.incarnation
        released = self._ask(Release(self._holder.seat, identity))
        yield True
        if not isinstance(released, Released):
            # Its answer may be lost on the way, too: the successor withdraws.
            self._resume()
            return
        if rng.random() < _GIVEN_UP_PART:
            self._resume()
            return
        self._join(released)

    def _copy(self):
        """Copy the holder; leave the successor None if it isn't whole."""
        holder, rng = self._holder, self._world.rng
        holder.acceptor.offered_to = _ADDRESS
        nonce = f"{rng.getrandbits(64):016x}"
        granted = self._ask(HandOver(holder.seat, _ADDRESS, nonce))
        if not isinstance(granted, HandingOver):
            return
        identified = Identified(holder.seat, granted.incarnation)
        successor = WorldReplica(holder.seat, [identified])
        page, after = None, ""
        while page is None or page.more:
            yield True
            if rng.random() < _TAKEN_BACK_PART:
                self._take_back()
            copy = Copy(holder.seat, granted.incarnation, after, _PAGE_SLOTS)
            page = self._ask(copy)
            if not isinstance(page, CopyPage):
                return
            successor.record([SlotStored(k.key, k.slot) for k in page.slots])
            after = page.slots[-1].key if page.slots else after
        successor.record([FloorRaised(page.floor)])
        self._successor = successor

    def _ask(self, message):
        holder = self._holder
        is_there = self._world.replicas[holder.seat] is holder and holder.is_up
        return self._world.call(holder, message) if is_there else None

    def _take_back(self):
        self._holder.acceptor.offered_to = None
        self._holder.acceptor.take_back()

    def _resume(self):
        """Have the holder vote again after its successor has withdrawn."""
        self._take_back()
        if self._holder.state.status == HANDED_OVER:
            self._holder.record([Resumed()])
            self._holder.acceptor.is_admitted = False
            self._world.faults_injected["seat resumed"] += 1

    def _join(self, released):
        successor, world = self._successor, self._world
        roster = released.sender.roster.items()
        changes = [SeatNamed(seat, incarnation) for seat, incarnation in roster]
        for seat, confirmed in released.joined.items():
            changes += [SeatTaken(seat, incarnation) for incarnation in confirmed]
        successor.record([*changes, Joined()])
        world.faults_injected["seat handed over"] += 1
        seat = successor.seat
        if world.replicas[seat] is not self._holder:
            # Another folder has begun with the seat, not knowing of the successor.
            world.aside[seat] = successor
            return
        world.replicas[seat] = successor
        # Another folder that is there may have been confirmed in part.
        if world.rng.random() < _FOLDER_STAYS_PART:
            world.aside.setdefault(seat, self._holder)
