"""Choice of the server for a request, by load and latency."""

from statistics import median

from gooseberryyoke.placement.places import available_groups, available_servers

__all__ = ["choose_server", "median_latency"]

_SLOW_FACTOR = 1.8
"""Ratio to the median latency of a service's servers from which a server counts as
slow. Smaller differences result from the sizes of the requests."""


_REMOTE_PENALTY = 1.0
"""Number of requests added to the load of a server in another data centre. While local
servers have free slots, this avoids two thirds of the events that would otherwise cross
the links between data centres. It is not more than one request, so that a data centre
with more callers still spreads them over the others."""
_MAX_PEER_BACKOFF_FRACTION = 0.4
"""Fraction of the servers. If more of them have requested a back-off from other
gateways, these back-off periods are ignored."""


def choose_server(candidates, data_centre, now, rng, sharing=None):
    """
    Choose the server with the lowest occupancy, weighted by its latency.

    Parameters
    ----------
    candidates : list
        Servers with the attributes ``entry``, ``load``, ``health``, ``limit``,
        ``backoff``, ``latency`` and ``group_health``.
    data_centre : str
        Data centre of this process. Among equal servers a local one is preferred, to
        save traffic between data centres.
    now : float
        In seconds.
    rng : random.Random
    sharing : SlotSharing, optional
        Gives the order of the servers with free slots that is specific to this gateway.
        Gateways learn of each other's requests with a delay, and would all choose the
        least loaded servers otherwise.

    Returns
    -------
    object or None
        One of the candidates; None if the rate limits and back-off periods of the
        servers allow no request.

    Notes
    -----
    Excluded servers, and servers of groups that accept no requests, are chosen only if
    there are no others: any attempt is better than a certain refusal. A server that has
    requested a back-off from another gateway is chosen only when the others are full,
    unless many servers have done so.
    """
    candidates = [server for server in candidates if _has_room(server, now)]
    healths = available_groups(candidates, now)
    accepting = [
        server for server in candidates if server.group_health in healths
    ] or candidates
    pool = available_servers(accepting, now) or accepting
    median_s = median_latency(pool, now)
    backing_off = _backing_off_at_peers(pool, now)

    def sort_key(server):
        slots = server.entry.slots
        is_remote = server.entry.data_centre != data_centre
        expected = server.load.expected(now)
        requests = expected + 1 + _REMOTE_PENALTY * is_remote
        is_backing_off = server in backing_off
        if is_backing_off:
            # Sorts after the servers with free slots, before the full ones.
            requests = slots + (1 + requests / slots) / 2
        occupancy = requests / max(1, slots)
        free = int(slots - expected)
        if sharing is not None and free > 0 and not is_backing_off:
            slowness = _slowness(server, median_s, now)
            return (
                -1.0,
                slowness > 1.0,
                sharing.cost(server.entry.id, free - _REMOTE_PENALTY * is_remote),
            )
        return (round(occupancy * _slowness(server, median_s, now), 1), rng.random())

    return min(pool, key=sort_key, default=None)


def _has_room(server, now):
    return server.limit.room(now) >= 1 and server.backoff.room(now) >= 1


def _backing_off_at_peers(servers, now):
    """
    Return the servers that have requested a back-off from other gateways.

    The set is empty if they are many: the service as a whole is overloaded then, and
    the back-off periods say nothing about an individual server.
    """
    backing_off = {server for server in servers if server.backoff.is_on_at_peer(now)}
    return (
        backing_off
        if len(backing_off) <= len(servers) * _MAX_PEER_BACKOFF_FRACTION
        else set()
    )


def median_latency(servers, now):
    """
    Compute the median time to first output of servers.

    Parameters
    ----------
    servers : list
        Servers with the attribute ``latency``.
    now : float
        In seconds.

    Returns
    -------
    float or None
        In seconds; None if no server has a recent measurement.
    """
    recent = [latency for server in servers if (latency := server.latency.recent(now))]
    return median(recent) if recent else None


def _slowness(server, median_s, now):
    if median_s is None:
        return 1.0
    latency = server.latency.recent(now)
    if latency is None or latency < median_s * _SLOW_FACTOR:
        return 1.0
    return latency / median_s
