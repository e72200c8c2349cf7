"""Choice of expert moves by gain and cost, within a budget and without flapping."""

from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke.expert.layer_layout import LayerLayout
from gooseberryyoke.record import Record

__all__ = ["PlacementPolicy", "Rebalance", "Rebalancer", "step_skew"]

_HOUR_S = 3600.0
_MAX_LAYER_CHANGES = 24
"""Maximum number of swaps and replications tried in one layer for one proposal."""
_BALANCED_SKEW = 1.01
"""Skew below which a layer counts as balanced and the search in it ends."""


class PlacementPolicy(Record):
    """
    Weights and limits for moving experts, from the bundle and from defaults.

    Parameters
    ----------
    skew_weight : float
        Value of one second of step time saved in an hour.
    move_cost_weight : float
        Cost of moving one expert, in the unit of `skew_weight`.
    moves_per_hour : float
        Number of expert weights that a group may load in an hour, over all layers.
    min_skew : float
        Layers whose skew (load of the slowest rank over the mean) is not above this
        value are left unchanged.
    cooldown_s : float
        Seconds for which an expert is not moved again after a move.
    """

    __slots__ = (
        "skew_weight",
        "move_cost_weight",
        "moves_per_hour",
        "min_skew",
        "cooldown_s",
    )

    def __init__(
        self,
        skew_weight=1.0,
        move_cost_weight=1.0,
        moves_per_hour=200.0,
        min_skew=1.05,
        cooldown_s=1800.0,
    ):
        self.skew_weight = skew_weight
        self.move_cost_weight = move_cost_weight
        self.moves_per_hour = moves_per_hour
        self.min_skew = min_skew
        self.cooldown_s = cooldown_s

    @classmethod
    def from_bundle(cls, placement):
        """
        Create a policy from the placement section of a bundle.

        Parameters
        ----------
        placement : gooseberryyoke.bundle.Placement

        Returns
        -------
        PlacementPolicy
        """
        return cls(
            placement.skew_weight, placement.move_cost_weight, placement.moves_per_hour
        )


class Rebalance(Record):
    """
    A proposal to change the map.

    Parameters
    ----------
    expert_map : ExpertMap
        Proposed map.
    move_count : int
        Number of expert weights to be loaded.
    skew_before, skew_after : float
        Predicted skew of the present and of the proposed map.
    """

    __slots__ = ("expert_map", "move_count", "skew_before", "skew_after")

    def __init__(self, expert_map, move_count, skew_before, skew_after):
        self.expert_map = expert_map
        self.move_count = move_count
        self.skew_before = skew_before
        self.skew_after = skew_after


class Rebalancer:
    """
    Proposes moves of experts for one group.

    Parameters
    ----------
    policy : PlacementPolicy
        May be replaced at any time by the policy of a new bundle.
    now : float
        Present time in seconds, on the clock of all later calls.

    Notes
    -----
    A proposal counts against the budget, and the cool-down of its experts starts,
    only with `accept`, which is to be called when the change has been decided.
    """

    def __init__(self, policy, now):
        self.policy = policy
        self._budget = 0.0
        self._refilled_at = now
        self._moved_at = {}

    def propose(self, expert_map, loads, now):
        """
        Propose the moves that save more than they cost.

        Parameters
        ----------
        expert_map : ExpertMap
            The map in force.
        loads : sequence of sequence of float
            Predicted load, shape (layers, experts).
        now : float

        Returns
        -------
        Rebalance or None
            None if no move saves more than it costs or fits into the budget.
        """
        self._refill_budget(now)
        total_mean = sum(map(sum, loads)) / expert_map.rank_count
        if total_mean <= 0:
            return None
        plans = [
            plan
            for layer in range(len(loads))
            if (plan := self._plan(expert_map, loads, layer, total_mean, now))
        ]
        plans.sort(key=lambda plan: -plan[0] / plan[1])
        layers, spent = list(expert_map.layers), 0
        for _, moves, layer, experts in plans:
            if spent + moves <= self._budget:
                layers[layer] = experts
                spent += moves
        if not spent:
            return None
        changed = ExpertMap(expert_map.rank_count, layers)
        skews = step_skew(expert_map, loads), step_skew(changed, loads)
        return Rebalance(changed, changed.move_count(expert_map), *skews)

    def accept(self, old, proposal, now):
        """
        Charge the budget for a proposal and start the cool-down of its experts.

        Parameters
        ----------
        old : ExpertMap
            Map before the change.
        proposal : Rebalance
        now : float
        """
        self._refill_budget(now)
        self._budget -= proposal.move_count
        self._moved_at = {
            key: at
            for key, at in self._moved_at.items()
            if now - at < self.policy.cooldown_s
        }
        pairs = zip(proposal.expert_map.layers, old.layers, strict=True)
        for layer, (experts, before) in enumerate(pairs):
            for expert, ranks in enumerate(experts):
                if ranks != before[expert]:
                    self._moved_at[layer, expert] = now

    def _refill_budget(self, now):
        rate = self.policy.moves_per_hour / _HOUR_S
        filled = self._budget + max(0.0, now - self._refilled_at) * rate
        self._budget = min(filled, self.policy.moves_per_hour)
        self._refilled_at = max(now, self._refilled_at)

    def _plan(self, expert_map, loads, layer, total_mean, now):
        """
        Find the best prefix of the changes that lower a layer's peak load.

        Returns
        -------
        tuple of (float, int, int, list) or None
            Net saving, number of moves, layer and ranks by expert.
        """
        layout = LayerLayout(
            expert_map.layers[layer], loads[layer], expert_map.rank_count
        )
        mean = sum(loads[layer]) / expert_map.rank_count
        if layout.peak_load <= mean * self.policy.min_skew:
            return None
        pinned = self._cooling_down(layer, now)
        start, moves, best = layout.peak_load, 0, None
        for _ in range(_MAX_LAYER_CHANGES):
            change = layout.best_change(pinned)
            if (
                change is None
                or moves >= self._budget
                or layout.peak_load < mean * _BALANCED_SKEW
            ):
                break
            layout.apply(change)
            moves += len(change.replacements)
            net_saving = self._net_saving(
                (start - layout.peak_load) / total_mean, moves
            )
            if net_saving > 0 and (best is None or net_saving > best[0]):
                best = (net_saving, moves, layer, layout.ranks_by_expert())
        return best

    def _net_saving(self, gain, moves):
        saved_s = gain * _HOUR_S
        return self.policy.skew_weight * saved_s - self.policy.move_cost_weight * moves

    def _cooling_down(self, layer, now):
        return {
            expert
            for (moved_layer, expert), at in self._moved_at.items()
            if moved_layer == layer and now - at < self.policy.cooldown_s
        }


def step_skew(expert_map, loads):
    """
    Compute how much longer a step takes than on evenly loaded ranks.

    Parameters
    ----------
    expert_map : ExpertMap
    loads : sequence of sequence of float
        Load by layer and expert, shape (layers, experts).

    Returns
    -------
    float
        Sum over the layers of the load of the slowest rank, divided by the sum of the
        mean loads, as ranks wait for each other in each layer; 1 if all are even.
    """
    peaks = sum(
        LayerLayout(experts, layer_loads, expert_map.rank_count).peak_load
        for experts, layer_loads in zip(expert_map.layers, loads, strict=True)
    )
    return peaks * expert_map.rank_count / sum(map(sum, loads))
