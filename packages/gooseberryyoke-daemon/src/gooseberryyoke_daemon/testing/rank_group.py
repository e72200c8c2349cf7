"""A group of engines in lock-step that are armed for a step, for tests."""

from collections import deque
from random import Random

import trio

from gooseberryyoke.expert.armed import (
    Arm,
    Disarm,
    Hold,
    Prepare,
    RankStatus,
    Release,
)
from gooseberryyoke_daemon.groups.rank_orders import OrderReply

__all__ = ["MixedMaps", "RankGroup"]

_FAR_LAG_S = 0.2
"""By which the state that an engine tells other machines is old."""
_REPORT_S = 0.01


class MixedMaps(Exception):
    """A step began while two ranks had different maps."""


class _Rank:
    """What one rank knows; cleared when the group forms anew."""

    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.sequence = 0
        self.fence = 0
        self.clear()

    def clear(self):
        ranks, experts = self.group.size, self.group.experts
        own = [e for e in range(experts) if e * ranks // experts == self.number]
        self.version, self.layout, self.whole = 0, (tuple(own),), None
        self.highest = 0
        self.copying = None
        self.prepared = None
        self.armed = None
        self.held = None


class RankGroup:
    """
    Ranks that make each step together.

    Parameters
    ----------
    seed : int
    size, experts : int
        Ranks, and experts of the single layer.
    lost_share : float
        Part of the orders that get no answer; half of these are lost, the others
        carried out up to ``late_s`` later.
    late_s : float
        Also how late an order may be carried out.

    Attributes
    ----------
    step : int
    maps : list of tuple
        Version and content of the map of each step begun.
    begun_s : list of float
        When each step began, on trio's clock.
    """

    def __init__(self, seed, size=4, experts=8, lost_share=0.0, late_s=12.0):
        self.seed = seed
        self.rng = Random(seed)
        self.size = size
        self.experts = experts
        self.lost_share = lost_share
        self.late_s = late_s
        self.step = 0
        self.epoch = 1
        self.is_open = True
        self.is_idle = False
        self.step_s = 0.05
        self.copy_s = 0.1
        self.maps = []
        self.begun_s = []
        self.hot = 0
        self.ranks = [_Rank(self, number) for number in range(size)]
        self._chosen = [[0] * experts for _ in range(size)]
        self._nursery = None
        self._reports = deque(maxlen=round(_FAR_LAG_S / _REPORT_S))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Make steps until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._keep_reports)
            task_status.started()
            while True:
                await trio.sleep(self.step_s)
                if self.is_open and not self.is_idle and not self._is_held():
                    self._begin_step()

    async def _keep_reports(self):
        while True:
            statuses = [self.status(number) for number in range(self.size)]
            self._reports.append(statuses)
            await trio.sleep(_REPORT_S)

    def told(self, number):
        """Report of a rank as other machines see it."""
        return self._reports[0][number]

    def _is_held(self):
        return any(rank.held == self.step + 1 for rank in self.ranks)

    def _begin_step(self):
        self.step += 1
        self.begun_s.append(trio.current_time())
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.layout, rank.whole = rank.prepared
                rank.prepared = rank.armed = None
        versions = {rank.version for rank in self.ranks}
        if len(versions) != 1 or len({rank.whole for rank in self.ranks}) != 1:
            raise MixedMaps(f"step {self.step}: versions {sorted(versions)}")
        self.maps.append((self.step, self.ranks[0].version))
        for chosen in self._chosen:
            chosen[self.hot] += 60
            for expert in range(self.experts):
                chosen[expert] += 5

    def crash(self, down_s):
        """
        Lose a rank: the group breaks, and forms anew with the first map.

        Parameters
        ----------
        down_s : float
        """
        self.is_open = False
        self._nursery.start_soon(self._form, down_s)

    async def _form(self, down_s):
        await trio.sleep(down_s)
        self.epoch += 1
        for rank in self.ranks:
            rank.clear()
        self.is_open = True

    def engine(self, number):
        """
        Give one rank's engine as the process beside it sees it.

        Parameters
        ----------
        number : int

        Returns
        -------
        object
            As `RankOrders` needs it.
        """
        return _Engine(self, number)

    def far_engine(self, number):
        """
        Give one rank's engine as other machines see it.

        Parameters
        ----------
        number : int

        Returns
        -------
        object
            As `RankOrders` needs it.
        """
        return _FarEngine(self, number)

    def status(self, number):
        """Report of a rank."""
        rank = self.ranks[number]
        return RankStatus(
            self.epoch,
            number,
            self.size,
            self.is_open,
            rank.sequence,
            self.step,
            rank.version,
            6,
            None if rank.prepared is None else rank.prepared[0],
            rank.armed,
            rank.held,
        )

    def chosen(self, number):
        """Counts of a rank."""
        return [list(self._chosen[number])]

    def apply(self, number, order, epoch, sequence, fence):
        """
        Carry out an order now.

        Parameters
        ----------
        number : int
            The rank.
        order : Prepare, Hold, Arm or Release
        epoch, sequence, fence : int

        Returns
        -------
        OrderReply
        """
        rank = self.ranks[number]
        if fence < rank.fence:
            return OrderReply.REFUSED
        rank.fence = fence
        if epoch != self.epoch:
            return OrderReply.REFUSED
        if self._is_done(rank, order):
            return OrderReply.DONE
        if sequence != rank.sequence:
            return OrderReply.REFUSED
        reply = _CARRY_OUT[type(order)](self, rank, order)
        if reply is OrderReply.TAKEN:
            rank.sequence += 1
        return reply

    def _is_done(self, rank, order):
        match order:
            case Prepare():
                return rank.prepared is not None and rank.prepared[0] == order.version
            case Hold():
                return rank.held == order.step
            case Arm():
                return rank.armed == (order.version, order.step)
            case Release():
                return rank.held != order.step
        return False

    def _prepare(self, rank, order):
        if order.version <= rank.highest or rank.armed is not None:
            return OrderReply.REFUSED
        rank.highest = order.version
        rank.prepared, rank.copying = None, order.version
        self._nursery.start_soon(self._copy, rank, order, self.epoch)
        return OrderReply.TAKEN

    async def _copy(self, rank, order, epoch):
        await trio.sleep(self.copy_s * self.rng.uniform(0.5, 2.0))
        if self.epoch == epoch and rank.copying == order.version:
            own = tuple(tuple(layer[rank.number]) for layer in order.layout)
            rank.prepared = (order.version, own, repr(order.layout))

    def _hold(self, rank, order):
        if self.step >= order.step or rank.held is not None:
            return OrderReply.REFUSED
        rank.held = order.step
        return OrderReply.DONE

    def _arm(self, rank, order):
        is_prepared = rank.prepared is not None and rank.prepared[0] == order.version
        if self.step >= order.step or not is_prepared:
            return OrderReply.REFUSED
        rank.armed = (order.version, order.step)
        return OrderReply.DONE

    def _disarm(self, rank, order):
        if rank.version == order.version:
            return OrderReply.REFUSED
        if rank.armed is not None and rank.armed[0] == order.version:
            rank.armed = None
        return OrderReply.DONE

    def _release(self, rank, order):
        rank.held = None
        return OrderReply.DONE

    async def receive(self, number, *order):
        """
        Take an order that may get no answer, or be carried out late.

        Parameters
        ----------
        number : int
        *order
            As of `apply`.

        Returns
        -------
        OrderReply
        """
        await trio.sleep(self.rng.uniform(0.0, 0.004))
        if self.rng.random() >= self.lost_share:
            return self.apply(number, *order)
        if self.rng.random() < 0.5:
            self._nursery.start_soon(self._apply_late, number, order)
        await trio.sleep(0.4)
        return OrderReply.UNKNOWN

    async def _apply_late(self, number, order):
        await trio.sleep(self.rng.uniform(0.0, self.late_s))
        self.apply(number, *order)


_CARRY_OUT = {
    Prepare: RankGroup._prepare,
    Hold: RankGroup._hold,
    Arm: RankGroup._arm,
    Disarm: RankGroup._disarm,
    Release: RankGroup._release,
}


class _Engine:
    """One rank's engine."""

    def __init__(self, group, number):
        self._group = group
        self._number = number

    async def status(self):
        await trio.sleep(0.001)
        return self._group.status(self._number)

    async def counts(self):
        return self._group.epoch, self._group.chosen(self._number)

    async def experts(self):
        return [list(layer) for layer in self._group.ranks[self._number].layout]

    async def order(self, *order):
        return await self._group.receive(self._number, *order)


class _FarEngine(_Engine):
    """One rank's engine seen from another machine, whose state is told with a lag."""

    async def status(self):
        await trio.sleep(0.003)
        return self._group.told(self._number)
