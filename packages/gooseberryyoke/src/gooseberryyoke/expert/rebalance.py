"""Which experts to move: gain against cost, within a budget, without flapping."""

from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke.expert.layer_layout import LayerLayout
from gooseberryyoke.record import Record

__all__ = ["PlacementPolicy", "Rebalance", "Rebalancer", "step_skew"]

_HOUR_S = 3600.0
_MOST_STEPS = 24
_EVEN_SKEW = 1.01


class PlacementPolicy(Record):
    """
    What the bundle says about placement, with what it leaves to the project.

    Parameters
    ----------
    skew_weight : float
        Worth of one second of step time saved in an hour.
    move_cost_weight : float
        Price of moving one expert, in the same unit.
    moves_per_hour : float
        Expert weights that a group may load in an hour, over all layers.
    start_skew : float
        Layers with a lower skew (slowest over mean rank) are left alone.
    rest_s : float
        How long an expert stays after a move.
    """

    __slots__ = (
        "skew_weight",
        "move_cost_weight",
        "moves_per_hour",
        "start_skew",
        "rest_s",
    )

    def __init__(
        self,
        skew_weight=1.0,
        move_cost_weight=1.0,
        moves_per_hour=200.0,
        start_skew=1.05,
        rest_s=1800.0,
    ):
        self.skew_weight = skew_weight
        self.move_cost_weight = move_cost_weight
        self.moves_per_hour = moves_per_hour
        self.start_skew = start_skew
        self.rest_s = rest_s

    @classmethod
    def of(cls, placement):
        """
        Take over the bundle's section.

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
    move_count : int
        Expert weights to be loaded.
    skew_before, skew_after : float
        Predicted.
    """

    __slots__ = ("expert_map", "move_count", "skew_before", "skew_after")

    def __init__(self, expert_map, move_count, skew_before, skew_after):
        self.expert_map = expert_map
        self.move_count = move_count
        self.skew_before = skew_before
        self.skew_after = skew_after


class Rebalancer:
    """
    Decide on moves for one group.

    Parameters
    ----------
    policy : PlacementPolicy
        May be replaced at any time by a new bundle's.
    now : float
        Seconds.

    Notes
    -----
    A proposal counts against the budget, and its experts rest, only from
    `accept` on, which belongs to the moment when the change was decided.
    """

    def __init__(self, policy, now):
        self.policy = policy
        self._budget = 0.0
        self._filled_at = now
        self._moved_at = {}

    def propose(self, expert_map, loads, now):
        """
        Look for moves that are worth their cost.

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
            None if nothing is worth it.
        """
        self._fill(now)
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
        Note that a proposal was carried out.

        Parameters
        ----------
        old : ExpertMap
        proposal : Rebalance
        now : float
        """
        self._fill(now)
        self._budget -= proposal.move_count
        self._moved_at = {
            place: at
            for place, at in self._moved_at.items()
            if now - at < self.policy.rest_s
        }
        pairs = zip(proposal.expert_map.layers, old.layers, strict=True)
        for layer, (experts, before) in enumerate(pairs):
            for expert, ranks in enumerate(experts):
                if ranks != before[expert]:
                    self._moved_at[layer, expert] = now

    def _fill(self, now):
        rate = self.policy.moves_per_hour / _HOUR_S
        filled = self._budget + max(0.0, now - self._filled_at) * rate
        self._budget = min(filled, self.policy.moves_per_hour)
        self._filled_at = max(now, self._filled_at)

    def _plan(self, expert_map, loads, layer, total_mean, now):
        """Find the best prefix of the steps that relieve a layer, or None."""
        layout = LayerLayout(
            expert_map.layers[layer], loads[layer], expert_map.rank_count
        )
        mean = sum(loads[layer]) / expert_map.rank_count
        if layout.peak <= mean * self.policy.start_skew:
            return None
        frozen = self._resting(layer, now)
        start, moves, best = layout.peak, 0, None
        for _ in range(_MOST_STEPS):
            step = layout.best_step(frozen)
            if step is None or moves >= self._budget or layout.peak < mean * _EVEN_SKEW:
                break
            layout.apply(step)
            moves += len(step.loads)
            worth = self._worth((start - layout.peak) / total_mean, moves)
            if worth > 0 and (best is None or worth > best[0]):
                best = (worth, moves, layer, layout.experts())
        return best

    def _worth(self, gain, moves):
        saved_s = gain * _HOUR_S
        return self.policy.skew_weight * saved_s - self.policy.move_cost_weight * moves

    def _resting(self, layer, now):
        return {
            expert
            for (moved_layer, expert), at in self._moved_at.items()
            if moved_layer == layer and now - at < self.policy.rest_s
        }


def step_skew(expert_map, loads):
    """
    Tell how much longer a step takes than on evenly loaded ranks.

    Parameters
    ----------
    expert_map : ExpertMap
    loads : sequence of sequence of float
        Shape (layers, experts).

    Returns
    -------
    float
        Slowest over mean rank, summed over the layers, as ranks wait for each
        other in each layer; 1 is even.
    """
    peaks = sum(
        LayerLayout(experts, layer_loads, expert_map.rank_count).peak
        for experts, layer_loads in zip(expert_map.layers, loads, strict=True)
    )
    return peaks * expert_map.rank_count / sum(map(sum, loads))
