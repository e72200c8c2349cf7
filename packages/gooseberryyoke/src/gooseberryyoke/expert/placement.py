"""Placing experts from nothing: replicas by load, then the longest first."""

import heapq

from gooseberryyoke.expert.exceptions import ExpertError

__all__ = ["place_layer"]


def place_layer(loads, rank_count, slots_per_rank):
    """
    Place the experts of one layer without regard to where they are.

    Parameters
    ----------
    loads : sequence of float
        Load by expert, shape (experts,).
    rank_count : int
    slots_per_rank : int
        Experts that one rank holds.

    Returns
    -------
    list of tuple of int
        Ranks by expert, for `ExpertMap`.

    Raises
    ------
    ExpertError
        If the experts don't fit.

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
            # A last replica may find only ranks that hold the expert already;
            # it is left out, and its slot stays empty.
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
