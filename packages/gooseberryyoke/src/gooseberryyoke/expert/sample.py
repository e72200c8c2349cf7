"""Choice of the ranks of a group whose expert counts are read."""

__all__ = ["sampled_ranks"]

_MAX_SAMPLED_RANKS = 24
"""Maximum number of ranks whose counts are read. The counts of one rank take some
kilobytes, and all counts arrive over one link."""


def sampled_ranks(size):
    """
    Choose the ranks whose counts represent the whole group.

    Parameters
    ----------
    size : int
        Number of ranks in the group.

    Returns
    -------
    range
        Evenly spaced ranks, the same on every call. They are representative, as every
        rank serves requests of all kinds.

    Examples
    --------
    >>> sampled_ranks(3)
    range(0, 3)
    >>> len(sampled_ranks(96))
    24
    """
    stride = -(-size // _MAX_SAMPLED_RANKS)
    return range(0, size, max(1, stride))
