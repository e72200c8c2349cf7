"""Which ranks hold which experts, as ranks tell it and as orders name it."""

from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke_daemon.groups.group_calls import RoundEnded

__all__ = ["layout_of", "map_of"]


def map_of(experts_by_rank):
    """
    Turn experts by rank and layer into ranks by layer and expert.

    Parameters
    ----------
    experts_by_rank : list of list of list of int
        As the ranks tell them.

    Returns
    -------
    ExpertMap

    Raises
    ------
    RoundEnded
        If no rank holds an expert that has a lower number than another.
    """
    layers = []
    for layer in range(len(experts_by_rank[0])):
        told = {expert for own in experts_by_rank for expert in own[layer]}
        # One odd number would cost a list for each number below it.
        if told != set(range(len(told))):
            raise RoundEnded(f"layer {layer}: not all experts are held")
        holders = [[] for _ in told]
        for rank, own in enumerate(experts_by_rank):
            for expert in own[layer]:
                holders[expert].append(rank)
        layers.append(holders)
    return ExpertMap(len(experts_by_rank), layers)


def layout_of(expert_map):
    """
    Turn a map into experts by layer and rank.

    Parameters
    ----------
    expert_map : ExpertMap

    Returns
    -------
    list of list of list of int
    """
    layout = []
    for holders in expert_map.layers:
        by_rank = [[] for _ in range(expert_map.rank_count)]
        for expert, ranks in enumerate(holders):
            for rank in ranks:
                by_rank[rank].append(expert)
        layout.append(by_rank)
    return layout
