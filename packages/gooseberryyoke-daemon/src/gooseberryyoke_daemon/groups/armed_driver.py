"""Changes the map of a group whose engines are armed for a step."""

from base64 import b64decode
from zlib import decompress

import orjson
import trio
from loguru import logger

from gooseberryyoke.expert.armed import (
    Arm,
    Hold,
    Prepare,
    Progress,
    RankStatus,
    Release,
    order_to_json,
)
from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke.expert.load import LoadEstimate, LoadFilter
from gooseberryyoke.expert.rebalance import step_skew
from gooseberryyoke.expert.replicas import ReplicaLimits, StepCost, plan_replicas
from gooseberryyoke_daemon.groups.rank_orders import RANK_PATH
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import WireError

__all__ = ["ArmedDriver"]

_ROUND_S = 0.4
"""Between two looks at the counts. What is in demand may change every three seconds."""
_HALF_LIFE_S = 1.2
_COPY_COST = 0.004
"""Part of a step's time that a copy must save. A copy of 50 ms slows the steps of its
group by 15 in 100, and what is in demand stays so for some three seconds."""
_MARGIN_STEPS = 6
"""From the last step begun to the switch. At 12 to 25 steps a second this leaves time
for orders that must be sent twice, so that the group is rarely held at all."""
_RUNNING_GAIN = 0.3
"""Weight of the newest count of running requests, which jumps from look to look."""
_CALL_S = 2.0
_ORDER_S = 6.0
_HOLD_TRIES = 4
_VERSIONS_A_TERM = 10_000
_PAUSE_S = 0.1


class _Rank:
    """One rank as the driver sees it."""

    __slots__ = ("address", "status", "counts", "experts")

    def __init__(self, address):
        self.address = address
        self.status = None
        self.counts = None
        self.experts = None


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
    addresses : callable
        Gives the addresses of the agents by rank, or None while not all are known.
    client : HttpClient
    lease : LeaseKeeper
        Of the group; its number goes with each order and makes versions unique.
    pace : callable
        Gives the `ModelPace` of the group's service, or None if it isn't known.
    """

    def __init__(self, group, addresses, client, lease, pace):
        self._group = group
        self._addresses = addresses
        self._client = client
        self._lease = lease
        self._pace = pace
        self._estimates = []
        self._counted = {}
        self._map = None
        self._map_version = None
        self._changes = 0
        self._running = 0.0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Drive while the lease is held, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(_ROUND_S)
            grant = self._lease.grant()
            addresses = self._addresses()
            if grant is None or addresses is None:
                continue
            try:
                await self._round(grant, [_Rank(address) for address in addresses])
            except _Interrupted as exc:
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

    async def _round(self, grant, ranks):
        await self._look(grant, ranks)
        epoch = self._common_epoch(ranks)
        held = [rank for rank in ranks if rank.status.held is not None]
        if held:
            await self._complete(grant, ranks, held, epoch)
            return
        if not all(rank.status.is_open for rank in ranks):
            return
        if any(rank.status.armed is not None for rank in ranks):
            # The step for which they are armed is about to begin.
            return
        if len({rank.status.version for rank in ranks}) != 1:
            raise _Interrupted("ranks were seen around a switch")
        await self._learn_map(grant, ranks)
        target = self._target()
        if target is not None:
            await self._change(grant, ranks, epoch, target)

    async def _look(self, grant, ranks):
        await self._ask_all(grant, ranks, {"counts": True}, _CALL_S)
        for rank in ranks:
            if rank.status is None:
                raise _Interrupted(f"{rank.address} gives no state of its engine")
        self._estimate(ranks)
        running = sum(rank.status.running for rank in ranks) / len(ranks)
        self._running += _RUNNING_GAIN * (running - self._running)

    def _common_epoch(self, ranks):
        epochs = {rank.status.epoch for rank in ranks}
        if len(epochs) != 1:
            raise _Interrupted(f"ranks are in epochs {sorted(epochs)}")
        return epochs.pop()

    async def _ask_all(self, grant, ranks, payload, timeout_s):
        async with trio.open_nursery() as nursery:
            for rank in ranks:
                nursery.start_soon(self._ask, grant, rank, payload, timeout_s)

    async def _ask(self, grant, rank, payload, timeout_s):
        rank.status = None
        payload = {"fence": grant.number, **payload}
        try:
            reply = await self._client.json(
                "POST", rank.address, RANK_PATH, payload, timeout_s, repeatable=True
            )
            said = reply.payload
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

    def _estimate(self, ranks):
        now = trio.current_time()
        spans, total = [], None
        for rank in ranks:
            if rank.counts is None:
                return
            epoch, packed = rank.counts
            by_layer = orjson.loads(decompress(b64decode(packed)))
            key = rank.address
            before_epoch, before, at_s = self._counted.get(key, (None, None, now))
            self._counted[key] = (epoch, by_layer, now)
            if before_epoch != epoch or before is None:
                continue
            spans.append(now - at_s)
            grown = [
                [max(0, new - old) for new, old in zip(*pair, strict=True)]
                for pair in zip(by_layer, before, strict=True)
            ]
            total = grown if total is None else _sum(total, grown)
        if total is None or not any(map(sum, total)):
            return
        self._observe(total, now - max(spans), now)

    def _observe(self, total, from_s, until_s):
        if len(self._estimates) != len(total):
            load_filter = LoadFilter(_HALF_LIFE_S, _HALF_LIFE_S, 0.0)
            self._estimates = [LoadEstimate(len(row), load_filter) for row in total]
        for estimate, counts in zip(self._estimates, total, strict=True):
            if not estimate.observe(counts, from_s, until_s):
                estimate.observe(counts, until_s - _ROUND_S / 2, until_s)

    async def _learn_map(self, grant, ranks):
        version = (ranks[0].status.epoch, ranks[0].status.version)
        if self._map_version == version:
            return
        await self._ask_all(grant, ranks, {"experts": True}, _CALL_S)
        if any(rank.status is None or rank.experts is None for rank in ranks):
            raise _Interrupted("not all ranks tell their experts")
        if {(r.status.epoch, r.status.version) for r in ranks} != {version}:
            raise _Interrupted("the map changed while it was read")
        self._map = _map_of([rank.experts for rank in ranks])
        self._map_version = version

    def _target(self):
        pace = self._pace()
        if pace is None or not pace.experts or not self._estimates:
            return None
        loads = [e.predict(trio.current_time()) for e in self._estimates]
        if len(loads) != len(self._map.layers) or not any(map(sum, loads)):
            return None
        limits = ReplicaLimits(pace.expert_places, pace.spare_places)
        target = plan_replicas(self._map, loads, limits, self._step_cost(pace))
        if target == self._map:
            return None
        log_event(
            "map-planned",
            group=self._group,
            skew_before=round(step_skew(self._map, loads), 2),
            skew_after=round(step_skew(target, loads), 2),
            copies=target.move_count(self._map),
            running=round(self._running, 1),
        )
        return target

    def _step_cost(self, pace):
        work_s = self._running * pace.per_request_s
        fixed_s = pace.step_s + work_s * (1 - pace.expert_share)
        return StepCost(fixed_s, work_s * pace.expert_share, _COPY_COST)

    async def _change(self, grant, ranks, epoch, target):
        start_s = trio.current_time()
        self._changes += 1
        # A driver that was replaced may still have orders on the way. No two drivers
        # use one version, since ranks don't compare what they have under it.
        version = grant.number * _VERSIONS_A_TERM + self._changes
        prepare = Prepare(version, _layout_of(target))
        await self._order_all(grant, ranks, epoch, prepare)
        prepared_s = trio.current_time()
        step = await self._hold(grant, ranks, epoch)
        await self._arm_and_release(grant, ranks, epoch, version, step, ranks[:1])
        self._map, self._map_version = target, (epoch, version)
        log_event(
            "map-changed",
            group=self._group,
            version=version,
            step=step,
            prepare_ms=round((prepared_s - start_s) * 1000),
            switch_ms=round((trio.current_time() - prepared_s) * 1000),
        )

    async def _hold(self, grant, ranks, epoch):
        for _ in range(_HOLD_TRIES):
            seen = max(rank.status.step for rank in ranks if rank.status is not None)
            step = seen + _MARGIN_STEPS
            progress = await self._order(grant, ranks[0], epoch, Hold(step))
            if progress == Progress.DONE.value:
                return step
            if progress != Progress.MISSED.value:
                raise _Interrupted(f"the group may or may not be held at {step}")
        raise _Interrupted("the group runs faster than it can be held")

    async def _arm_and_release(self, grant, ranks, epoch, version, step, holders):
        await self._order_all(grant, ranks, epoch, Arm(version, step))
        for rank in ranks:
            if rank.status.version != version and rank.status.armed != (version, step):
                raise _Interrupted(f"{rank.address} is not armed for step {step}")
        for rank in holders:
            await self._order(grant, rank, epoch, Release(step))

    async def _complete(self, grant, ranks, held, epoch):
        """Finish a change that an earlier driver, or a lost answer, left held."""
        steps = {rank.status.held for rank in held}
        versions = {rank.status.prepared for rank in ranks}
        log_event(
            "map-change-found",
            level="warning",
            group=self._group,
            steps=sorted(steps),
            prepared=sorted(str(version) for version in versions),
        )
        if len(steps) != 1 or len(versions) != 1 or None in versions:
            raise _Interrupted(f"held at {steps} with {versions} prepared")
        step, version = steps.pop(), versions.pop()
        await self._arm_and_release(grant, ranks, epoch, version, step, held)
        self._map_version = None

    async def _order_all(self, grant, ranks, epoch, order):
        progress = {}

        async def send(rank):
            progress[rank] = await self._order(grant, rank, epoch, order)

        async with trio.open_nursery() as nursery:
            for rank in ranks:
                nursery.start_soon(send, rank)
        for rank in ranks:
            if progress[rank] != Progress.DONE.value or rank.status is None:
                raise _Interrupted(
                    f"{type(order).__name__} at {rank.address}: {progress[rank]}"
                )

    async def _order(self, grant, rank, epoch, order):
        held = self._lease.grant()
        if held is None or held.number != grant.number:
            # Another driver may give orders by now.
            return None
        payload = {"order": order_to_json(order), "epoch": epoch}
        return await self._ask(grant, rank, payload, _ORDER_S)


class _Interrupted(Exception):
    """A round that can't go on; the next one looks anew."""


def _sum(one, other):
    return [
        [a + b for a, b in zip(*pair, strict=True)]
        for pair in zip(one, other, strict=True)
    ]


def _map_of(experts_by_rank):
    """Turn experts by rank and layer into ranks by layer and expert."""
    layers = []
    for layer in range(len(experts_by_rank[0])):
        count = 1 + max(max(own[layer]) for own in experts_by_rank if own[layer])
        holders = [[] for _ in range(count)]
        for rank, own in enumerate(experts_by_rank):
            for expert in own[layer]:
                holders[expert].append(rank)
        layers.append(holders)
    return ExpertMap(len(experts_by_rank), layers)


def _layout_of(expert_map):
    """Turn a map into experts by layer and rank."""
    layout = []
    for holders in expert_map.layers:
        by_rank = [[] for _ in range(expert_map.rank_count)]
        for expert, ranks in enumerate(holders):
            for rank in ranks:
                by_rank[rank].append(expert)
        layout.append(by_rank)
    return layout
