"""Of which ranks of a group the counts of experts are read."""

__all__ = ["counted_ranks"]

_MOST_RANKS = 24
"""Counts of one rank are some kilobytes, and all of them come over one link."""


def counted_ranks(size):
    """
    Choose the ranks whose counts stand for those of the whole group.

    Parameters
    ----------
    size : int
        Number of ranks.

    Returns
    -------
    range
        Always the same ones, spread evenly. Each serves requests of all kinds.

    Examples
    --------
    >>> counted_ranks(3)
    range(0, 3)
    >>> len(counted_ranks(96))
    24
    """
    stride = -(-size // _MOST_RANKS)
    return range(0, size, max(1, stride))
