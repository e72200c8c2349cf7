"""How an engine's counts have grown since they were told before."""

from collections import OrderedDict

__all__ = ["CountMarks"]

_KEPT_MARKS = 4
"""Of a driver whose last looks failed at another rank, and of one that took over."""


class CountMarks:
    """
    Counts by the mark under which a driver has asked for them.

    Counts only ever grow, to numbers of six digits each. Their growth since the last
    look packs to a quarter of the bytes (1.9 for 7.4 kB, drawn counts of 12 layers with
    128 experts), which most often go to another data centre.
    """

    __slots__ = ("_by_mark",)

    def __init__(self):
        self._by_mark = OrderedDict()

    def growth(self, mark, since, epoch, layers):
        """
        Keep counts under a mark, and compare them with earlier ones.

        Parameters
        ----------
        mark : str
            Of this look; never used before.
        since : str
            Mark of the look to compare with.
        epoch : int
            Of the group; the counts start anew with it.
        layers : list of list of int
            Counts by layer and expert.

        Returns
        -------
        list of list of int or None
            None if no counts are kept under ``since``, or they are of another epoch.
        """
        before_epoch, before = self._by_mark.get(since, (None, None))
        self._by_mark[mark] = (epoch, layers)
        while len(self._by_mark) > _KEPT_MARKS:
            self._by_mark.popitem(last=False)
        if before_epoch != epoch or list(map(len, before)) != list(map(len, layers)):
            return None
        # An engine that has started again begins at zero.
        return [
            [max(0, new - old) for new, old in zip(*pair, strict=True)]
            for pair in zip(layers, before, strict=True)
        ]
