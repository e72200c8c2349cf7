"""Extra replicas of hot experts, in the free slots of the ranks of a group."""

from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke.record import Record

__all__ = ["ReplicaLimits", "plan_replicas"]

_MAX_COPIES = 32
"""Maximum number of copies of experts that one plan adds to a layer."""


class ReplicaLimits(Record):
    """
    Limits on the experts that a rank holds and that a change adds to it.

    Parameters
    ----------
    slots_per_rank : int
        Experts of one layer that a rank can hold.
    max_added_per_rank : int
        Experts of one layer that a change may add to a rank.
    """

    __slots__ = ("slots_per_rank", "max_added_per_rank")

    def __init__(self, slots_per_rank, max_added_per_rank):
        self.slots_per_rank = slots_per_rank
        self.max_added_per_rank = max_added_per_rank


def plan_replicas(expert_map, loads, limits, cost):
    """
    Copy hot experts to less loaded ranks where the saved time exceeds the cost.

    An existing replica is removed only if its slot is needed: keeping it costs nothing,
    and demand that has moved away often comes back.

    Parameters
    ----------
    expert_map : ExpertMap
        Map in force.
    loads : sequence of sequence of float
        Load by layer and expert, shape (layers, experts).
    limits : ReplicaLimits
        Limits on each rank.
    cost : StepCost
        Cost of a step, of a copy and of a change.

    Returns
    -------
    ExpertMap
        New map; `expert_map` itself if no copies save more than they cost.

    Examples
    --------
    >>> from gooseberryyoke.expert.step_cost import StepCost
    >>> old = ExpertMap(2, [[(0,), (0,), (1,), (1,)]])
    >>> cost = StepCost(0.005, 0.005, 0.01)
    >>> plan_replicas(old, [[9, 1, 1, 1]], ReplicaLimits(3, 1), cost).layers[0]
    ((0, 1), (0,), (1,), (1,))
    """
    layers = [
        _LayerPlan(holders, layer_loads, expert_map.rank_count, limits)
        for holders, layer_loads in zip(expert_map.layers, loads, strict=True)
    ]
    skew = sum(layer.skew for layer in layers) / len(layers)

    def saved_fraction(skew_reduction):
        return cost.saved_fraction(skew, skew_reduction, len(layers))

    plans = [layer.plan(saved_fraction, cost.copy_cost) for layer in layers]
    if sum(net_saving for _, net_saving in plans) <= cost.change_cost:
        return expert_map
    return ExpertMap(expert_map.rank_count, [holders for holders, _ in plans])


class _LayerPlan:
    """Working state of one layer while copies are added to it."""

    __slots__ = (
        "_loads",
        "_limits",
        "_holders_of",
        "_experts_on",
        "_rank_loads",
        "_added",
    )

    def __init__(self, holders, loads, rank_count, limits):
        self._loads = loads
        self._limits = limits
        self._holders_of = [list(ranks) for ranks in holders]
        self._experts_on = [[] for _ in range(rank_count)]
        self._rank_loads = [0.0] * rank_count
        self._added = [0] * rank_count
        for expert, ranks in enumerate(holders):
            for rank in ranks:
                self._experts_on[rank].append(expert)
                self._rank_loads[rank] += loads[expert] / len(ranks)

    @property
    def skew(self):
        total = sum(self._rank_loads)
        return max(self._rank_loads) * len(self._rank_loads) / total if total else 1.0

    def plan(self, saved_fraction, copy_cost):
        """
        Find the number of copies with the largest net saving.

        Returns
        -------
        list of tuple of int
            Ranks by expert after these copies.
        float
            Part of a step's time that they save, less their cost.
        """
        start, best, net_saving = self.skew, self._snapshot(), 0.0
        for copies in range(1, _MAX_COPIES + 1):
            if not self._copy_from_slowest():
                break
            gain = saved_fraction(start - self.skew) - copy_cost * copies
            if gain > net_saving:
                best, net_saving = self._snapshot(), gain
        return best, net_saving

    def _snapshot(self):
        return [tuple(sorted(ranks)) for ranks in self._holders_of]

    def _share(self, expert):
        return self._loads[expert] / len(self._holders_of[expert])

    def _copy_from_slowest(self):
        slowest = max(
            range(len(self._experts_on)), key=lambda rank: self._rank_loads[rank]
        )
        coldest_first = sorted(
            range(len(self._experts_on)), key=lambda rank: self._rank_loads[rank]
        )
        for expert in sorted(self._experts_on[slowest], key=self._share, reverse=True):
            for rank in coldest_first:
                if self._try_copy(expert, rank, slowest):
                    return True
        return False

    def _try_copy(self, expert, rank, slowest):
        holders = self._holders_of[expert]
        if rank in holders or self._added[rank] >= self._limits.max_added_per_rank:
            return False
        share = self._loads[expert] / (len(holders) + 1)
        if self._rank_loads[rank] + share >= self._rank_loads[slowest]:
            return False
        if len(self._experts_on[rank]) >= self._limits.slots_per_rank:
            evicted = self._choose_eviction(rank, self._rank_loads[slowest])
            if evicted is None:
                return False
            self._evict(evicted, rank)
        self._add(expert, rank)
        return True

    def _choose_eviction(self, rank, peak):
        """Find the smallest replica whose load the other holders can take over."""
        evictable = [
            expert
            for expert in self._experts_on[rank]
            if len(self._holders_of[expert]) > 1 and self._can_evict(expert, rank, peak)
        ]
        return min(evictable, key=self._share, default=None)

    def _can_evict(self, expert, rank, peak):
        others = [other for other in self._holders_of[expert] if other != rank]
        more = self._loads[expert] / len(others) - self._share(expert)
        return all(self._rank_loads[other] + more < peak for other in others)

    def _add(self, expert, rank):
        self._set_holders(expert, [*self._holders_of[expert], rank])
        self._experts_on[rank].append(expert)
        self._added[rank] += 1

    def _evict(self, expert, rank):
        self._set_holders(expert, [r for r in self._holders_of[expert] if r != rank])
        self._experts_on[rank].remove(expert)

    def _set_holders(self, expert, holders):
        before = self._share(expert)
        for rank in self._holders_of[expert]:
            self._rank_loads[rank] -= before
        self._holders_of[expert] = holders
        after = self._share(expert)
        for rank in holders:
            self._rank_loads[rank] += after
