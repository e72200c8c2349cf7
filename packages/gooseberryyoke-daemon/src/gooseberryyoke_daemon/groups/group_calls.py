"""Calls to the ranks of one group, by whoever drives or completes a change."""

import trio

from gooseberryyoke.expert.armed import (
    Arm,
    Prepare,
    Progress,
    RankStatus,
    Release,
    order_to_json,
)
from gooseberryyoke.expert.sample import sampled_ranks
from gooseberryyoke_daemon.groups.packing import pack
from gooseberryyoke_daemon.groups.rank_orders import RANK_PATH, deliver
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import WireError

__all__ = ["GroupCalls", "RankView", "RoundEnded"]

_OK = 200
_CALL_S = 1.0
_PREPARE_S = 3.0
"""For copies of a few hundredths of a second each."""
_ORDER_S = 0.6
"""For an order while the group is held. The engine itself is asked after that."""


class RoundEnded(Exception):  # noqa: N818
    """A round that can't go on; the next one looks anew."""


class RankView:
    """
    One rank as it was seen last.

    Attributes
    ----------
    member : Member
    status : RankStatus or None
        None if it didn't tell.
    counts, experts : list or None
    """

    __slots__ = ("member", "status", "counts", "experts")

    def __init__(self, member):
        self.member = member
        self.status = None
        self.counts = None
        self.experts = None

    @property
    def address(self):
        """Address of the process beside its engine."""
        return self.member.address


class GroupCalls:
    """
    One round of calls under one fencing number.

    Parameters
    ----------
    group : str
    client : HttpClient
    members : list of Member
        By rank.
    fence : int
    may_order : callable
        Asked before each order.
    engine_at : callable
        Gives the engine at an address, as `RankOrders` needs it.

    Attributes
    ----------
    ranks : list of RankView
    """

    __slots__ = ("group", "ranks", "_client", "_engine_at", "_fence", "_may_order")

    def __init__(self, group, client, members, fence, may_order, engine_at):
        self.group = group
        self.ranks = [RankView(member) for member in members]
        self._engine_at = engine_at
        self._client = client
        self._fence = fence
        self._may_order = may_order

    async def look(self, counts=None, experts=False):
        """
        Ask all ranks for their state.

        Parameters
        ----------
        counts : list of str, optional
            Have some ranks tell their counts: marks of this look, and of the one
            since which they are to be told.
        experts : bool
            Have all tell their experts.

        Returns
        -------
        int
            The epoch that all are in.

        Raises
        ------
        RoundEnded
            If one doesn't tell, or they are in more than one epoch.
        """
        wanted = {"experts": True} if experts else {}
        counted = sampled_ranks(len(self.ranks)) if counts else ()
        async with trio.open_nursery() as nursery:
            for place, rank in enumerate(self.ranks):
                asked = {**wanted, "counts": counts} if place in counted else wanted
                nursery.start_soon(self._ask, rank, asked, _CALL_S)
        for rank in self.ranks:
            if rank.status is None and not (counts or experts):
                engine = self._engine_at(rank.member.engine)
                rank.status = await engine.status()
            if rank.status is None:
                raise RoundEnded(f"{rank.address} gives no state of its engine")
        epochs = {rank.status.epoch for rank in self.ranks}
        if len(epochs) != 1:
            raise RoundEnded(f"ranks are in epochs {sorted(epochs)}")
        return epochs.pop()

    async def _ask(self, rank, payload, timeout_s):
        rank.status = None
        payload = {"fence": self._fence, **payload}
        try:
            reply = await self._client.json(
                "POST", rank.address, RANK_PATH, payload, timeout_s, repeatable=True
            )
            said = reply.payload
            if reply.status != _OK:
                raise ValueError(f"status {reply.status}, {said['reason']}")
            if said["status"] is not None:
                rank.status = RankStatus(*said["status"])
            rank.counts = said.get("counts")
            rank.experts = said.get("experts")
            return said.get("progress")
        except WireError as exc:
            why = str(exc)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            why = f"unreadable reply: {exc}"
        log_event(
            "rank-unreached", level="warning", address=str(rank.address), why=why[:200]
        )
        return None

    def counts(self):
        """
        Give the counts of the last look.

        Returns
        -------
        list of str or None
            Of the ranks that were asked for them; None unless all have told.
        """
        told = [self.ranks[place].counts for place in sampled_ranks(len(self.ranks))]
        return None if None in told else told

    async def order(self, rank, epoch, order):
        """
        Have one rank carry out an order.

        Parameters
        ----------
        rank : RankView
        epoch : int
        order : Prepare, Hold, Arm or Release

        Returns
        -------
        str or None
            A value of `Progress`; None if nothing is known of it.
        """
        if not self._may_order():
            # Another driver may give orders by now.
            return None
        payload = {"order": pack(order_to_json(order)), "epoch": epoch}
        if isinstance(order, Prepare):
            return await self._ask(rank, payload, _PREPARE_S)
        known = rank.status
        progress = await self._ask(rank, payload, _ORDER_S)
        if progress is not None or not self._may_order():
            return progress
        return await self._order_directly(rank, epoch, order, known)

    async def _order_directly(self, rank, epoch, order, known):
        # The machine beside the engine is frozen or the process there has ended: the
        # engine goes on, and its group waits for this order.
        engine = self._engine_at(rank.member.engine)
        progress, rank.status = await deliver(engine, order, epoch, self._fence, known)
        log_event(
            "rank-ordered-directly",
            level="warning",
            engine=str(rank.member.engine),
            order=type(order).__name__.lower(),
            progress=progress.value,
        )
        return progress.value

    async def order_all(self, epoch, order):
        """
        Have all ranks carry out an order.

        Parameters
        ----------
        epoch : int
        order : Prepare or Arm

        Raises
        ------
        RoundEnded
            If one has not.
        """
        progress = {}

        async def send(rank):
            progress[rank] = await self.order(rank, epoch, order)

        async with trio.open_nursery() as nursery:
            for rank in self.ranks:
                nursery.start_soon(send, rank)
        for rank in self.ranks:
            if progress[rank] != Progress.DONE.value or rank.status is None:
                name = type(order).__name__
                raise RoundEnded(f"{name} at {rank.address}: {progress[rank]}")

    async def arm_and_release(self, epoch, version, step, holders):
        """
        Arm all ranks of a group that is held, and let it go on.

        Parameters
        ----------
        epoch, version, step : int
        holders : list of RankView
            Those that hold it before the step.

        Raises
        ------
        RoundEnded
            If a rank is not armed for certain. The group stays held: released now,
            the ranks would begin the step on two maps.
        """
        await self.order_all(epoch, Arm(version, step))
        for rank in self.ranks:
            if rank.status.version != version and rank.status.armed != (version, step):
                raise RoundEnded(f"{rank.address} is not armed for step {step}")
        for rank in holders:
            await self.order(rank, epoch, Release(step))

    def holders(self):
        """List the ranks that hold the group."""
        return [rank for rank in self.ranks if rank.status.held is not None]

    def held_step(self):
        """
        Tell which step the group must not begin.

        Returns
        -------
        int

        Raises
        ------
        RoundEnded
            If the ranks name more than one.
        """
        steps = {rank.status.held for rank in self.holders()}
        if len(steps) != 1:
            raise RoundEnded(f"held at steps {sorted(steps)}")
        return steps.pop()

    def next_versions(self):
        """
        Collect the versions that the ranks are to switch to.

        Returns
        -------
        set of (int or None)
        """
        return {_next_version(rank.status) for rank in self.ranks}

    async def complete(self, epoch):
        """
        Finish the change of a group that was seen held.

        Who finishes it need not be the driver that began it, and two may do so at
        once: they give the same orders.

        Parameters
        ----------
        epoch : int

        Raises
        ------
        RoundEnded
        """
        versions = self.next_versions()
        step = self.held_step()
        if len(versions) != 1 or None in versions:
            raise RoundEnded(f"held at {step} with {versions} prepared")
        version = versions.pop()
        await self.arm_and_release(epoch, version, step, self.holders())
        log_event(
            "map-change-completed",
            level="warning",
            group=self.group,
            version=version,
            step=step,
            fence=self._fence,
        )


def _next_version(status):
    return status.prepared if status.armed is None else status.armed[0]
