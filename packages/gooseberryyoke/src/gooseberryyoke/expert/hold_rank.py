"""Choice of the rank at which a driver holds its group before a step."""

__all__ = ["choose_hold_rank", "is_hold_candidate"]


def choose_hold_rank(hosts, own_host=None):
    """
    Choose the rank that receives the order to hold a group before a step.

    Parameters
    ----------
    hosts : sequence of str
        Host of each rank, by rank.
    own_host : str, optional
        Host of the driver.

    Returns
    -------
    int
        The first rank on another machine than the driver's, or 0 if there is none. If
        the driver's machine freezes during the hold, the process beside the chosen rank
        detects it and completes the change.
    """
    others = (rank for rank, host in enumerate(hosts) if host != own_host)
    return next(others, 0)


def is_hold_candidate(rank, hosts):
    """
    Return whether a driver on any host could choose a rank to hold the group.

    Parameters
    ----------
    rank : int
    hosts : sequence of str
        Host of each rank, as for `choose_hold_rank`.

    Returns
    -------
    bool
        True for at most two ranks, whichever host the driver is on.

    Examples
    --------
    >>> [is_hold_candidate(rank, ["a", "a", "b", "c"]) for rank in range(4)]
    [True, False, True, False]
    """
    return rank in (choose_hold_rank(hosts), choose_hold_rank(hosts, hosts[0]))
