"""Who of many processes competes for a lease, and who only stands by."""

__all__ = ["is_candidate"]

_CANDIDATES = 4
"""All of them would have to be gone at once for the others to be needed. With all 64
ranks of two groups competing, their reads were a tenth of all bytes between the
system's processes (6.6 of 65.5 MB in 35 s, counted at the callers)."""


def is_candidate(rank, size):
    """
    Tell whether a member of a group competes for the group's lease all the time.

    Parameters
    ----------
    rank : int
        Of the member, from 0.
    size : int
        Number of members.

    Returns
    -------
    bool
        True for four members or so, spread evenly: neighbours are often in one data
        centre, which may be cut off as a whole.
    """
    stride = max(1, size // _CANDIDATES)
    return rank % stride == 0
