"""The choice among the servers of a service."""

__all__ = ["choose_server"]


def choose_server(candidates, data_centre, now, rng):
    """
    Choose the server with the most room.

    Parameters
    ----------
    candidates : list
        With ``entry``, ``load`` and ``health``.
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
    sound = [server for server in candidates if not server.health.is_shunned(now)]
    pool = sound or candidates

    def order(server):
        room = server.load.expected(now) / max(1, server.entry.slots)
        is_far = server.entry.data_centre != data_centre
        return (round(room, 2), is_far, rng.random())

    return min(pool, key=order, default=None)
