"""Parts of a step's time, and the saving that a change of map must reach."""

from gooseberryyoke.record import Record

__all__ = ["StepCost", "step_cost"]

_COPY_COST = 0.032
"""Part of a step's time that one copy at each rank must save. Ranks copy at the same
time, so that the cost of a copy at one of them falls with the number of ranks. Copying
slows the steps of the group by 15 %, and demand stays the same for a few seconds."""
_FULL_LOAD_REQUESTS = 3.5
"""Least number of running requests per engine at which copies have their normal cost.
With fewer, no request waits for a slot, and the cost of copies rises in inverse
proportion."""
_MIN_REQUESTS = 0.1
"""Lower bound of the running requests in that proportion; avoids division by zero."""
_CHANGE_COST = 0.02
"""Part of a step's time that a change must save in addition to the cost of its copies.
A driver that dies while it changes a map leaves its group held for half a second."""
_SLOW_CHANGE_COST = 0.08
"""Value in place of `_CHANGE_COST` while switches take long and hold the group."""


class StepCost(Record):
    """
    Parts of a step's time, and the costs of a copy and of a change.

    Parameters
    ----------
    fixed_s : float
        Part of a step's time that doesn't depend on the map, in seconds.
    expert_s : float
        Time that the experts take if all ranks are loaded evenly, in seconds.
    copy_cost : float
        Part of a step's time that one copy must save. Copies slow all steps of a group
        while they are made, and the demand for experts changes.
    change_cost : float
        Part of a step's time that a change must save in addition.
    """

    __slots__ = ("fixed_s", "expert_s", "copy_cost", "change_cost")

    def __init__(self, fixed_s, expert_s, copy_cost, change_cost=0.0):
        self.change_cost = change_cost
        self.fixed_s = fixed_s
        self.expert_s = expert_s
        self.copy_cost = copy_cost

    def saved_fraction(self, skew, skew_reduction, layer_count):
        """
        Compute the part of a step's time that a lower peak in one layer saves.

        Parameters
        ----------
        skew : float
            Present skew of all layers: load of the slowest rank over the mean.
        skew_reduction : float
            Reduction of the layer's own skew.
        layer_count : int

        Returns
        -------
        float
        """
        step_s = self.fixed_s + self.expert_s * skew
        return self.expert_s * skew_reduction / layer_count / step_s


def step_cost(pace, running, rank_count, has_slow_switches):
    """
    Compute the costs by which changes of a group's map are judged.

    Parameters
    ----------
    pace : ModelPace
        Pace of the group's service.
    running : float
        Number of requests that run at an engine.
    rank_count : int
    has_slow_switches : bool
        Whether switches take long at present.

    Returns
    -------
    StepCost
    """
    work_s = running * pace.per_request_s
    idle_factor = max(1.0, _FULL_LOAD_REQUESTS / max(_MIN_REQUESTS, running))
    return StepCost(
        fixed_s=pace.step_s + work_s * (1 - pace.expert_share),
        expert_s=work_s * pace.expert_share,
        copy_cost=_COPY_COST / rank_count * idle_factor,
        change_cost=_SLOW_CHANGE_COST if has_slow_switches else _CHANGE_COST,
    )
