"""Changes the map of a group whose engines are armed for a step."""

import trio
from loguru import logger

from gooseberryyoke.expert.armed import Disarm, Hold, Prepare, Progress
from gooseberryyoke.expert.demand import GroupDemand
from gooseberryyoke.expert.hold_rank import choose_hold_rank
from gooseberryyoke.expert.rebalance import step_skew
from gooseberryyoke.expert.replicas import ReplicaLimits, plan_replicas
from gooseberryyoke.expert.step_cost import step_cost
from gooseberryyoke_daemon.groups.group_calls import GroupCalls, RoundEnded
from gooseberryyoke_daemon.groups.layout import layout_of, map_of
from gooseberryyoke_daemon.groups.packing import unpack
from gooseberryyoke_daemon.logs import log_event

__all__ = ["ArmedDriver"]

_ROUND_S = 0.4
"""Between two looks at the counts. What is in demand may change every three seconds."""
_HALF_LIFE_S = 1.2
_MARGIN_STEPS = 6
"""From the last step begun to the switch. At 12 to 25 steps a second this leaves time
for orders that must be sent twice, so that the group is rarely held at all."""
_WIDE_MARGIN_STEPS = 16
"""After a switch that took long: while engines leave orders unanswered, some of eight
ranks need theirs three or four times."""
_SLOW_SWITCH_S = 0.2
_RUNNING_GAIN = 0.3
"""Weight of the newest count of running requests, which jumps from look to look."""
_HOLD_TRIES = 4
_STOP_S = 3.0
"""For a change that runs, well within the time of a planned stop."""
_VERSIONS_A_TERM = 10_000


class ArmedDriver:
    """
    Keeps one group's map even, while it holds the group's lease.

    A change goes by four kinds of orders. All ranks prepare the new map. One rank
    is told to hold the group before a step that is some steps ahead. All ranks are
    armed for that step. Once each has confirmed it, the group is released. Until
    then no rank can begin the step, so none can begin it with another map than the
    others. After the hold a change is only ever completed, by this driver or by the
    next: an order to undo it could meet a late one that arms a single rank.

    Parameters
    ----------
    group : str
    members : callable
        Gives the list of `Member` by rank, or None while not all are known.
    client : HttpClient
    lease : LeaseKeeper
        Of the group; its number goes with each order and makes versions unique.
    pace : callable
        Gives the `ModelPace` of the group's service, or None if it isn't known.
    engine_at : callable
        See `GroupCalls`.
    own_host : str, optional
        Of the machine that the driver runs on.
    """

    def __init__(self, group, members, client, lease, pace, engine_at, own_host=None):
        self._engine_at = engine_at
        self._own_host = own_host
        self._group = group
        self._members = members
        self._client = client
        self._lease = lease
        self._pace = pace
        self._demand = GroupDemand(_HALF_LIFE_S)
        self._looks = 0
        self._last_look = ("", 0.0)
        self._map = None
        self._map_version = None
        self._changes = 0
        self._is_busy = False
        self._is_stopping = False
        self._margin_steps = _MARGIN_STEPS
        self._running = 0.0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Drive while the lease is held, until cancelled."""
        task_status.started()
        while not self._is_stopping:
            await trio.sleep(_ROUND_S)
            grant = self._lease.grant()
            members = self._members()
            if grant is None or members is None or self._is_stopping:
                continue
            calls = GroupCalls(
                self._group,
                self._client,
                members,
                grant.number,
                lambda number=grant.number: self._holds(number),
                self._engine_at,
            )
            self._is_busy = True
            try:
                await self._round(calls, grant.number)
            except RoundEnded as exc:
                log_event(
                    "map-round-ended",
                    level="warning",
                    group=self._group,
                    fence=grant.number,
                    why=str(exc),
                )
            except Exception as exc:
                # The process also carries other drivers' orders to its engine; ended
                # by a fault in here, it would leave a group held.
                logger.opt(exception=exc).error("map-round-failed")
            finally:
                self._is_busy = False

    async def stop(self):
        """
        Begin no further round, and wait for the end of the one that runs.

        A process that ends in the middle of a change leaves its group held.
        """
        self._is_stopping = True
        with trio.move_on_after(_STOP_S):
            while self._is_busy:
                await trio.sleep(_ROUND_S / 20)

    def _holds(self, number):
        grant = self._lease.grant()
        return grant is not None and grant.number == number

    async def _round(self, calls, fence):
        ranks = calls.ranks
        epoch = await self._look(calls, fence)
        self._note_running(ranks)
        if any(rank.status.held is not None for rank in ranks):
            self._map_version = None
            await self._go_on(calls, fence, epoch)
            return
        if not all(rank.status.is_open for rank in ranks):
            return
        if any(rank.status.armed is not None for rank in ranks):
            # The step for which they are armed is about to begin.
            return
        if len({rank.status.version for rank in ranks}) != 1:
            raise RoundEnded("ranks were seen around a switch")
        await self._learn_map(calls)
        target = self._target()
        if target is not None:
            await self._change(calls, fence, epoch, target)

    async def _go_on(self, calls, fence, epoch):
        """Let a held group go on, whatever its ranks have prepared."""
        versions = calls.next_versions()
        if len(versions) == 1 and None not in versions:
            await calls.complete(epoch)
            return
        # Two drivers gave orders at once, one of them frozen in between. Neither map
        # can be had on all ranks any more; the one in force can, under a new version.
        # A late order to arm is void after that: its version is prepared nowhere.
        step = calls.held_step()
        for rank in calls.ranks:
            if rank.status.armed is not None:
                await calls.order(rank, epoch, Disarm(rank.status.armed[0]))
        version = self._next_version(fence)
        layout = await self._layout_in_force(calls)
        await calls.order_all(epoch, Prepare(version, layout))
        await calls.arm_and_release(epoch, version, step, calls.holders())
        log_event(
            "map-change-settled",
            level="warning",
            group=self._group,
            version=version,
            step=step,
            found=sorted(str(version) for version in versions),
        )

    async def _layout_in_force(self, calls):
        return layout_of(map_of(await self._read_experts(calls)))

    async def _read_experts(self, calls):
        await calls.look(experts=True)
        if any(rank.experts is None for rank in calls.ranks):
            raise RoundEnded("not all ranks tell their experts")
        return [rank.experts for rank in calls.ranks]

    def _next_version(self, fence):
        # A driver that was replaced may still have orders on the way. No two drivers
        # use one version, since ranks don't compare what they have under it.
        self._changes += 1
        return fence * _VERSIONS_A_TERM + self._changes

    def _note_running(self, ranks):
        running = sum(rank.status.running for rank in ranks) / len(ranks)
        self._running += _RUNNING_GAIN * (running - self._running)

    async def _look(self, calls, fence):
        """Read states and counts of all ranks at once."""
        self._looks += 1
        mark = f"{fence}-{self._looks}"
        since, from_s = self._last_look
        epoch = await calls.look(counts=[mark, since])
        until_s = trio.current_time()
        self._last_look = (mark, until_s)
        counts = calls.counts()
        if counts is not None:
            layers = [unpack(of_rank) for of_rank in counts]
            self._demand.observe(_sum(layers), from_s, until_s)
        return epoch

    async def _learn_map(self, calls):
        status = calls.ranks[0].status
        version = (status.epoch, status.version)
        if self._map_version == version:
            return
        experts = await self._read_experts(calls)
        if {(r.status.epoch, r.status.version) for r in calls.ranks} != {version}:
            raise RoundEnded("the map changed while it was read")
        # Only now: what ranks tell around a switch may be no map.
        self._map, self._map_version = map_of(experts), version

    def _target(self):
        pace = self._pace()
        if pace is None or not pace.experts:
            return None
        loads = self._demand.predict(trio.current_time())
        if len(loads) != len(self._map.layers) or not any(map(sum, loads)):
            return None
        limits = ReplicaLimits(pace.expert_places, pace.spare_places)
        is_slow = self._margin_steps > _MARGIN_STEPS
        cost = step_cost(pace, self._running, self._map.rank_count, is_slow)
        target = plan_replicas(self._map, loads, limits, cost)
        if target == self._map:
            return None
        log_event(
            "map-planned",
            group=self._group,
            skew_before=round(step_skew(self._map, loads), 2),
            skew_after=round(step_skew(target, loads), 2),
            copies=target.move_count(self._map),
            running=round(self._running, 1),
            demand_changes=self._demand.changes,
        )
        return target

    async def _change(self, calls, fence, epoch, target):
        start_s = trio.current_time()
        version = self._next_version(fence)
        await calls.order_all(epoch, Prepare(version, layout_of(target)))
        prepared_s = trio.current_time()
        holder = self._holder(calls)
        step = await self._hold(calls, holder, epoch)
        await calls.arm_and_release(epoch, version, step, [holder])
        self._map, self._map_version = target, (epoch, version)
        is_slow = trio.current_time() - prepared_s > _SLOW_SWITCH_S
        self._margin_steps = _WIDE_MARGIN_STEPS if is_slow else _MARGIN_STEPS
        log_event(
            "map-changed",
            group=self._group,
            version=version,
            step=step,
            prepare_ms=round((prepared_s - start_s) * 1000),
            switch_ms=round((trio.current_time() - prepared_s) * 1000),
        )

    def _holder(self, calls):
        hosts = [rank.address.host for rank in calls.ranks]
        return calls.ranks[choose_hold_rank(hosts, self._own_host)]

    async def _hold(self, calls, holder, epoch):
        for _ in range(_HOLD_TRIES):
            seen = max(r.status.step for r in calls.ranks if r.status is not None)
            step = seen + self._margin_steps
            progress = await calls.order(holder, epoch, Hold(step))
            if progress == Progress.DONE.value:
                return step
            if progress != Progress.MISSED.value:
                raise RoundEnded(f"the group may or may not be held at {step}")
        raise RoundEnded("the group runs faster than it can be held")


def _sum(by_rank):
    """Add up counts by rank, layer and expert."""
    return [
        [sum(of_expert) for of_expert in zip(*rows, strict=True)]
        for rows in zip(*by_rank, strict=True)
    ]
