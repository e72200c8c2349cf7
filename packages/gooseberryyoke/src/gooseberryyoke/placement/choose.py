"""The choice among the servers of a service."""

from statistics import median

__all__ = ["choose_server", "free_places"]

_SLOW_FACTOR = 1.8
"""Against the median of a service's servers. Below it, differences are those of the
requests' sizes."""


_FAR_REQUESTS = 1.0
"""Requests that a server of another data centre counts as having more. Keeps two thirds
of the events between data centres off their links while near servers have room; at most
one request deep, so that a data centre with more callers still spreads them."""


def choose_server(candidates, data_centre, now, rng):
    """
    Choose the server with the most room for its pace.

    Parameters
    ----------
    candidates : list
        With ``entry``, ``load``, ``health`` and ``pace``.
    data_centre : str
        Of the entry; among equals a near server saves traffic between data centres.
    now : float
        In seconds.
    rng : random.Random

    Returns
    -------
    object or None
        One of the candidates; None if there are none.

    Notes
    -----
    Shunned servers are chosen only if all are: a request that is refused for sure
    is worth less than one that may be answered.
    """
    pool = _sound(candidates, now) or candidates
    usual_s = _usual_pace(pool, now)

    def order(server):
        is_far = server.entry.data_centre != data_centre
        count = server.load.expected(now) + 1 + _FAR_REQUESTS * is_far
        taken = count / max(1, server.entry.slots)
        return (round(taken * _slowness(server, usual_s, now), 1), rng.random())

    return min(pool, key=order, default=None)


def free_places(candidates, now):
    """
    Count the requests that servers could begin at once.

    Parameters
    ----------
    candidates : list
        As of `choose_server`.
    now : float
        In seconds.

    Returns
    -------
    int
    """
    free = 0
    for server in _sound(candidates, now):
        free += max(0, int(server.entry.slots - server.load.expected(now)))
    return free


def _sound(candidates, now):
    return [server for server in candidates if not server.health.is_shunned(now)]


def _usual_pace(servers, now):
    known = [pace for server in servers if (pace := server.pace.known(now))]
    return median(known) if known else None


def _slowness(server, usual_s, now):
    pace = server.pace.known(now)
    if usual_s is None or pace is None or pace < usual_s * _SLOW_FACTOR:
        return 1.0
    return pace / usual_s
