"""Expert maps: the ranks that hold each expert of each layer."""

from xxhash import xxh3_64_hexdigest

from gooseberryyoke.expert.exceptions import InvalidMapError
from gooseberryyoke.record import Record

__all__ = ["ExpertMap"]


class ExpertMap(Record):
    """
    Placement of every expert of every layer on the ranks of one group.

    Parameters
    ----------
    rank_count : int
        Number of ranks in the group.
    layers : sequence of sequence of sequence of int
        Ranks by layer and expert, shape (layers, experts, replicas). The number of
        replicas may differ between experts and is at least one.

    Raises
    ------
    InvalidMapError
        If an expert has no rank, the same rank twice, or a rank outside the group.

    Notes
    -----
    A map has no number of its own: the number is assigned when a change is opened
    (see `MapRecord`), so that the same placement can be tried again under a new
    number. The digest identifies the content.

    Examples
    --------
    >>> expert_map = ExpertMap(2, [[(0,), (1, 0)]])
    >>> sorted(expert_map.held_by(0))
    [(0, 0), (0, 1)]
    """

    __slots__ = ("rank_count", "layers")

    def __init__(self, rank_count, layers):
        self.rank_count = rank_count
        self.layers = tuple(
            tuple(tuple(sorted(ranks)) for ranks in experts) for experts in layers
        )
        self._check()

    def _check(self):
        for layer, experts in enumerate(self.layers):
            for expert, ranks in enumerate(experts):
                valid = ranks and ranks[0] >= 0 and ranks[-1] < self.rank_count
                if not valid or len(set(ranks)) != len(ranks):
                    raise InvalidMapError(
                        f"layer {layer}, expert {expert}: ranks {ranks}, expected"
                        f" distinct ranks from 0 to {self.rank_count - 1}"
                    )

    @property
    def digest(self):
        """Digest of the content, equal for equal placements."""
        return xxh3_64_hexdigest(repr((self.rank_count, self.layers)))

    def held_by(self, rank):
        """
        List the experts that one rank holds.

        Parameters
        ----------
        rank : int

        Returns
        -------
        frozenset of (int, int)
            Pairs of layer and expert.
        """
        return frozenset(
            (layer, expert)
            for layer, experts in enumerate(self.layers)
            for expert, ranks in enumerate(experts)
            if rank in ranks
        )

    def experts_to_load(self, old, rank):
        """
        List the experts that a rank must load to change from another map to this one.

        Parameters
        ----------
        old : ExpertMap
            Map that the rank has loaded.
        rank : int

        Returns
        -------
        frozenset of (int, int)
            Pairs of layer and expert that `old` doesn't place on the rank.
        """
        return self.held_by(rank) - old.held_by(rank)

    def move_count(self, old):
        """
        Count the expert weights that all ranks together must load.

        Parameters
        ----------
        old : ExpertMap
            Map that the ranks have loaded.

        Returns
        -------
        int
        """
        return sum(
            len(set(ranks) - set(old_ranks))
            for experts, old_experts in zip(self.layers, old.layers, strict=True)
            for ranks, old_ranks in zip(experts, old_experts, strict=True)
        )
