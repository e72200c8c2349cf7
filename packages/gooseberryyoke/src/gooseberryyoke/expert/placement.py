"""Placement of experts from scratch: replicas by load, then largest share first."""

import heapq

from gooseberryyoke.expert.exceptions import ExpertError

__all__ = ["place_layer"]


def place_layer(loads, rank_count, slots_per_rank):
    """
    Place the experts of one layer regardless of their present ranks.

    Parameters
    ----------
    loads : sequence of float
        Load by expert, shape (experts,).
    rank_count : int
    slots_per_rank : int
        Number of experts that one rank can hold.

    Returns
    -------
    list of tuple of int
        Ranks by expert, as in one layer of `ExpertMap`.

    Raises
    ------
    ExpertError
        If there are more experts than slots.

    Examples
    --------
    >>> place_layer([3.0, 1.0, 1.0], 2, 2)
    [(0, 1), (0,), (1,)]
    """
    replicas = _count_replicas(loads, rank_count, slots_per_rank)
    shares = [load / count for load, count in zip(loads, replicas, strict=True)]
    placed = [[] for _ in loads]
    filled, rank_loads = [0] * rank_count, [0.0] * rank_count
    for expert in sorted(range(len(loads)), key=lambda expert: -shares[expert]):
        for _ in range(replicas[expert]):
            free = [
                rank
                for rank in range(rank_count)
                if filled[rank] < slots_per_rank and rank not in placed[expert]
            ]
            # The last replicas may find free slots only on ranks that already hold
            # the expert. They are left out, and the slots stay empty.
            if not free:
                break
            rank = min(free, key=lambda rank: (rank_loads[rank], filled[rank]))
            placed[expert].append(rank)
            filled[rank] += 1
            rank_loads[rank] += shares[expert]
    return [tuple(sorted(ranks)) for ranks in placed]


def _count_replicas(loads, rank_count, slots_per_rank):
    spare = rank_count * slots_per_rank - len(loads)
    if spare < 0:
        raise ExpertError(
            f"{len(loads)} experts: expected at most {rank_count * slots_per_rank}"
        )
    replicas = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    while spare and heap:
        _, expert = heapq.heappop(heap)
        if replicas[expert] == rank_count:
            continue
        replicas[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-loads[expert] / (replicas[expert] + 1), expert))
    return replicas
