"""Estimate of the demand for a group's experts, which may change abruptly."""

from math import hypot

from gooseberryyoke.expert.load import LoadEstimate, LoadFilter

__all__ = ["GroupDemand", "cosine_similarity"]

_MIN_SIMILARITY = 0.8
"""Least cosine similarity of counts and predicted loads under the same demand. Counts
of half a second under the same demand differ by a few hundredths."""


class GroupDemand:
    """
    Estimate of the load of all experts of a group from its counts.

    Every few seconds another kind of text may be in demand, and other experts with it.
    If new counts were smoothed together with those of the earlier demand, the change
    would show in the estimate only after seconds, and maps would follow demand that is
    over. The estimate is therefore reset when demand shifts. While demand stays the
    same, counts are smoothed, as maps should not follow single requests.

    Parameters
    ----------
    half_life_s : float
        Half-life of the counts in seconds, while demand stays the same.

    Attributes
    ----------
    changes : int
        Number of shifts of demand so far.
    """

    __slots__ = ("changes", "_filter", "_shape", "_estimates")

    def __init__(self, half_life_s):
        self.changes = 0
        self._filter = LoadFilter(half_life_s, half_life_s, 0.0)
        self._shape = []
        self._estimates = []

    def observe(self, counts, from_s, until_s):
        """
        Update the estimate with the counts of a time span.

        Parameters
        ----------
        counts : sequence of sequence of float
            Tokens, shape (layers, experts); ignored if all are 0.
        from_s, until_s : float
            Begin and end of the span in seconds, on the clock of `predict`.
        """
        if not any(map(any, counts)):
            return
        if self._shape != [len(row) for row in counts]:
            self._reset_estimates(counts)
        elif self._has_shifted(counts, until_s):
            self.changes += 1
            self._reset_estimates(counts)
        for estimate, row in zip(self._estimates, counts, strict=True):
            estimate.observe(row, from_s, until_s)

    def _reset_estimates(self, counts):
        self._shape = [len(row) for row in counts]
        self._estimates = [LoadEstimate(size, self._filter) for size in self._shape]

    def _has_shifted(self, counts, now):
        pairs = zip(self.predict(now), counts, strict=True)
        return any(cosine_similarity(*pair) < _MIN_SIMILARITY for pair in pairs)

    def predict(self, at_s):
        """
        Predict the loads at a given time.

        Parameters
        ----------
        at_s : float
            Time in seconds.

        Returns
        -------
        list of list of float
            Tokens per second, shape (layers, experts); empty before the first counts.
        """
        return [estimate.predict(at_s) for estimate in self._estimates]


def cosine_similarity(loads, others):
    """
    Compute the cosine similarity of two loads, regardless of their sizes.

    Parameters
    ----------
    loads, others : sequence of float
        Load by expert, shape (experts,).

    Returns
    -------
    float
        1 for proportional loads, 0 for loads without a common expert; 1 also if one of
        them is all zero, as nothing can be concluded from it.

    Examples
    --------
    >>> cosine_similarity([3, 4], [6, 8])
    1.0
    >>> cosine_similarity([3, 0], [0, 8])
    0.0
    """
    size = hypot(*loads) * hypot(*others)
    if not size:
        return 1.0
    return sum(a * b for a, b in zip(loads, others, strict=True)) / size
