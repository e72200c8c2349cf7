"""Layout of the experts of one layer on the ranks, and search for its best change."""

from gooseberryyoke.record import Record

__all__ = ["LayerLayout", "LayerChange"]

_MAX_TARGET_RANKS = 8
"""Number of least loaded ranks that are tried as the target of a change."""


class LayerChange(Record):
    """
    One swap or replication in a layer.

    Parameters
    ----------
    load_reduction : float
        Reduction of the load of the hottest rank concerned, per loaded weight.
    replacements : tuple of (int, int, int)
        Rank, expert that it removes, and expert that it loads instead.
    """

    __slots__ = ("load_reduction", "replacements")

    def __init__(self, load_reduction, replacements):
        self.load_reduction = load_reduction
        self.replacements = replacements


class LayerLayout:
    """
    Working state of one layer during a search.

    Parameters
    ----------
    ranks_by_expert : sequence of sequence of int
        Ranks that hold each expert.
    loads : sequence of float
        Load by expert, shape (experts,); split evenly between its replicas.
    rank_count : int
    """

    def __init__(self, ranks_by_expert, loads, rank_count):
        self.loads = loads
        self.holders_of = [set(ranks) for ranks in ranks_by_expert]
        self.experts_on = [set() for _ in range(rank_count)]
        for expert, ranks in enumerate(ranks_by_expert):
            for rank in ranks:
                self.experts_on[rank].add(expert)
        self.shares = [
            load / len(ranks)
            for load, ranks in zip(loads, ranks_by_expert, strict=True)
        ]
        self.rank_loads = [
            sum(self.shares[expert] for expert in held) for held in self.experts_on
        ]

    @property
    def peak_load(self):
        """Load of the hottest rank."""
        return max(self.rank_loads)

    def ranks_by_expert(self):
        """
        List the ranks that hold each expert.

        Returns
        -------
        list of tuple of int
        """
        return [tuple(sorted(ranks)) for ranks in self.holders_of]

    def best_change(self, pinned=frozenset()):
        """
        Find the swap or new replica that reduces the load of the hottest rank most.

        Parameters
        ----------
        pinned : set of int
            Experts that must stay where they are.

        Returns
        -------
        LayerChange or None
            None if no change reduces the load.
        """
        order = sorted(range(len(self.experts_on)), key=self.rank_loads.__getitem__)
        hot = order[-1]
        best = None
        for change in self._candidate_changes(hot, order[:_MAX_TARGET_RANKS], pinned):
            if best is None or change[0] > best[0]:
                best = change
        return LayerChange(*best) if best and best[0] > 0 else None

    def apply(self, change):
        """
        Carry out a change.

        Parameters
        ----------
        change : LayerChange
        """
        for rank, given_up, loaded in change.replacements:
            self.experts_on[rank].remove(given_up)
            self.experts_on[rank].add(loaded)
            self.holders_of[given_up].remove(rank)
            self.holders_of[loaded].add(rank)
        for _, *experts in change.replacements:
            for expert in experts:
                self.shares[expert] = self.loads[expert] / len(self.holders_of[expert])
        touched = {
            rank
            for _, *experts in change.replacements
            for rank in self._ranks_holding(experts)
        }
        touched |= {rank for rank, _, _ in change.replacements}
        for rank in touched:
            self.rank_loads[rank] = sum(
                map(self.shares.__getitem__, self.experts_on[rank])
            )

    def _ranks_holding(self, experts):
        return set().union(*(self.holders_of[expert] for expert in experts))

    def _candidate_changes(self, hot, colds, pinned):
        movable = [expert for expert in self.experts_on[hot] if expert not in pinned]
        for cold in colds:
            if cold == hot:
                continue
            others = [
                expert for expert in self.experts_on[cold] if expert not in pinned
            ]
            for expert in movable:
                if expert in self.experts_on[cold]:
                    continue
                for other in others:
                    if other not in self.experts_on[hot]:
                        yield self._swap(hot, cold, expert, other)
                    if len(self.holders_of[other]) > 1:
                        yield self._replicate(hot, cold, expert, other)

    def _swap(self, hot, cold, expert, other):
        moved = self.shares[expert] - self.shares[other]
        before = self.rank_loads[hot]
        after = max(before - moved, self.rank_loads[cold] + moved)
        # A swap loads two weights and a replication one: half the reduction is the
        # reduction per weight, which makes both comparable.
        replacements = ((hot, expert, other), (cold, other, expert))
        return (before - after) / 2, replacements

    def _replicate(self, hot, cold, expert, other):
        share = self.loads[expert] / (len(self.holders_of[expert]) + 1)
        rise = (
            self.loads[other] / (len(self.holders_of[other]) - 1) - self.shares[other]
        )
        before = self.rank_loads[hot]
        after = before - self.shares[expert] + share
        after += rise if hot in self.holders_of[other] else 0.0
        after = max(after, self.rank_loads[cold] - self.shares[other] + share)
        for rank in self.holders_of[other]:
            if rank not in (hot, cold):
                after = max(after, self.rank_loads[rank] + rise)
        return before - after, ((cold, other, expert),)
