"""One layer's experts on the ranks, with the step that relieves it most."""

from gooseberryyoke.record import Record

__all__ = ["LayerLayout", "LayerStep"]

_COLDEST_RANKS = 8


class LayerStep(Record):
    """
    One change of a layer.

    Parameters
    ----------
    relief : float
        By how much the hottest rank concerned gets cooler, in load.
    loads : tuple of (int, int, int)
        Rank, expert it gives up, expert that it loads instead.
    """

    __slots__ = ("relief", "loads")

    def __init__(self, relief, loads):
        self.relief = relief
        self.loads = loads


class LayerLayout:
    """
    Working state of one layer during a search.

    Parameters
    ----------
    experts : sequence of sequence of int
        Ranks by expert.
    loads : sequence of float
        Load by expert, shape (experts,); split evenly between its replicas.
    rank_count : int
    """

    def __init__(self, experts, loads, rank_count):
        self.loads = loads
        self.holders = [set(ranks) for ranks in experts]
        self.held = [set() for _ in range(rank_count)]
        for expert, ranks in enumerate(experts):
            for rank in ranks:
                self.held[rank].add(expert)
        self.shares = [
            load / len(ranks) for load, ranks in zip(loads, experts, strict=True)
        ]
        self.rank_loads = [
            sum(self.shares[expert] for expert in held) for held in self.held
        ]

    @property
    def peak(self):
        """Load of the hottest rank."""
        return max(self.rank_loads)

    def experts(self):
        """
        List the ranks by expert.

        Returns
        -------
        list of tuple of int
        """
        return [tuple(sorted(ranks)) for ranks in self.holders]

    def best_step(self, frozen=frozenset()):
        """
        Find the swap or new replica that relieves the hottest rank most.

        Parameters
        ----------
        frozen : set of int
            Experts that must stay where they are.

        Returns
        -------
        LayerStep or None
        """
        order = sorted(range(len(self.held)), key=self.rank_loads.__getitem__)
        hot = order[-1]
        best = None
        for step in self._steps(hot, order[:_COLDEST_RANKS], frozen):
            if best is None or step[0] > best[0]:
                best = step
        return LayerStep(*best) if best and best[0] > 0 else None

    def apply(self, step):
        """
        Carry a step out.

        Parameters
        ----------
        step : LayerStep
        """
        for rank, given_up, loaded in step.loads:
            self.held[rank].remove(given_up)
            self.held[rank].add(loaded)
            self.holders[given_up].remove(rank)
            self.holders[loaded].add(rank)
        for _, *experts in step.loads:
            for expert in experts:
                self.shares[expert] = self.loads[expert] / len(self.holders[expert])
        touched = {rank for _, *experts in step.loads for rank in self._on(experts)}
        touched |= {rank for rank, _, _ in step.loads}
        for rank in touched:
            self.rank_loads[rank] = sum(map(self.shares.__getitem__, self.held[rank]))

    def _on(self, experts):
        return set().union(*(self.holders[expert] for expert in experts))

    def _steps(self, hot, colds, frozen):
        movable = [expert for expert in self.held[hot] if expert not in frozen]
        for cold in colds:
            if cold == hot:
                continue
            others = [expert for expert in self.held[cold] if expert not in frozen]
            for expert in movable:
                if expert in self.held[cold]:
                    continue
                for other in others:
                    if other not in self.held[hot]:
                        yield self._swap(hot, cold, expert, other)
                    if len(self.holders[other]) > 1:
                        yield self._replicate(hot, cold, expert, other)

    def _swap(self, hot, cold, expert, other):
        moved = self.shares[expert] - self.shares[other]
        before = self.rank_loads[hot]
        after = max(before - moved, self.rank_loads[cold] + moved)
        # Two weights are loaded for a swap and one for a replica; halving the
        # relief makes them comparable.
        loads = ((hot, expert, other), (cold, other, expert))
        return (before - after) / 2, loads

    def _replicate(self, hot, cold, expert, other):
        share = self.loads[expert] / (len(self.holders[expert]) + 1)
        rise = self.loads[other] / (len(self.holders[other]) - 1) - self.shares[other]
        before = self.rank_loads[hot]
        after = before - self.shares[expert] + share
        after += rise if hot in self.holders[other] else 0.0
        after = max(after, self.rank_loads[cold] - self.shares[other] + share)
        for rank in self.holders[other]:
            if rank not in (hot, cold):
                after = max(after, self.rank_loads[rank] + rise)
        return before - after, ((cold, other, expert),)
