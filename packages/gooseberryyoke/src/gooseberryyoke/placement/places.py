"""Places at servers, and the places kept for requests that can be on time.

A place is a free slot that can be used now: the server's health, rate limit and
back-off period and the limits of its group allow it.
"""

from math import inf

__all__ = [
    "count_restraints",
    "free_by_server",
    "free_places",
    "free_to_begin",
    "available_groups",
    "kept_places",
    "reservable_slots",
    "most_kept",
    "available_servers",
]

_KEPT_FRACTION = 0.12
"""Fraction of all slots that is kept free for requests that can be on time."""


def available_servers(servers, now):
    """List the servers that are not excluded after failures at a time in seconds."""
    return [server for server in servers if not server.health.is_excluded(now)]


def available_groups(servers, now):
    """
    Collect the health of each group that currently accepts requests.

    Parameters
    ----------
    servers : iterable
        Servers with an attribute ``group_health``; None without a group.
    now : float
        Current time in seconds.

    Returns
    -------
    set of GroupHealth or None
        Contains None if there are servers without a group.
    """
    healths = {server.group_health for server in servers}
    return {
        group_health for group_health in healths if _is_accepting(group_health, now)
    }


def _is_accepting(group_health, now):
    return group_health is None or (
        not group_health.is_full and group_health.places(1, now) > 0
    )


def free_places(servers, now):
    """
    Count the requests that servers could start now.

    Parameters
    ----------
    servers : list
        Servers with attributes ``entry``, ``load``, ``health``, ``limit``, ``backoff``
        and ``group_health``.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        Sum over the groups, each limited by its health.
    """
    by_group_health = {}
    for server in servers:
        by_group_health.setdefault(server.group_health, []).append(server)
    return sum(
        _free_in_group(group_health, group, now)
        for group_health, group in by_group_health.items()
    )


def _free_in_group(group_health, members, now):
    """Count the free places of one group, or of all servers without a group."""
    slots = running = free = 0
    for server in members:
        expected, server_slots = server.load.expected(now), server.entry.slots
        slots += server_slots
        running += expected
        if server.health.is_excluded(now):
            continue
        # Also computed for full servers, as the call updates the allowance of a server
        # with a rate limit, which grows with time.
        left = server.limit.room(now)
        free_slots = int(server_slots - expected)
        if free_slots > 0:
            free += min(free_slots, left, server.backoff.room(now))
    if group_health is None:
        return free
    return group_health.places(free, now, slots, running)


def free_by_server(servers, now):
    """
    Count the requests that each server could start now.

    Parameters
    ----------
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    dict of str to int
        Number of requests by server id. Servers without free places, and those of
        groups that currently accept no requests, are left out.
    """
    free, accepting = {}, available_groups(servers, now)
    for server in available_servers(servers, now):
        room = min(server.limit.room(now), server.backoff.room(now))
        count = min(_free_slots(server, now), room)
        if count >= 1 and server.group_health in accepting:
            free[server.entry.id] = int(count)
    return free


def most_kept(wanted, servers, now):
    """
    Bound the places that are kept free for some requests.

    One fewer than servers could take if no request ran: otherwise nothing would be
    sent, and limits that only answers lift would stay for good.

    Parameters
    ----------
    wanted : int
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        At most ``wanted``.
    """
    usable, by_group_health = 0, {}
    for server in servers:
        by_group_health.setdefault(server.group_health, []).append(server)
    for group_health, members in by_group_health.items():
        usable += _usable_in_group(group_health, members, now, wanted + 1)
        if usable > wanted:
            return wanted
    return max(0, usable - 1)


def _usable_in_group(group_health, members, now, enough):
    """Count what a group could take if no request ran, at least as far as enough."""
    usable = 0
    for server in members:
        usable += _usable_at(server, now)
        if usable >= enough:
            break
    if group_health is None:
        return usable
    return min(usable, group_health.max_running(_count_slots(members)))


def _usable_at(server, now):
    if server.health.is_excluded(now) or server.backoff.is_on(now):
        return 0
    share = server.limit.share(now)
    if share == inf and not server.backoff.awaits_probe:
        return server.entry.slots
    return 1 if share > 0 else 0


def count_restraints(servers, now):
    """
    Count what leaves a service without free places.

    Parameters
    ----------
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    dict of str to int
        ``servers``, ``slots`` and ``running`` requests of all of them, and how many of
        the servers are ``excluded`` after failures, ``paused``, ``unproven`` since
        their pause, or ``rate_limited``; of groups, how many are ``probed`` or
        ``limited``.
    """
    healths = {server.group_health for server in servers} - {None}
    return {
        "servers": len(servers),
        "slots": _count_slots(servers),
        "running": round(sum(server.load.expected(now) for server in servers)),
        "excluded": sum(server.health.is_excluded(now) for server in servers),
        "paused": sum(server.backoff.is_on(now) for server in servers),
        "unproven": sum(server.backoff.awaits_probe for server in servers),
        "rate_limited": sum(server.limit.share(now) != inf for server in servers),
        "probed": sum(health.is_probed for health in healths),
        "limited": sum(health.limit_part < 1 for health in healths),
    }


def kept_places(servers, now):
    """
    Count the places that late requests have to leave free.

    Parameters
    ----------
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        0 while a group is being probed: any request may serve as the probe.
    """
    if _is_any_probed(servers):
        return 0
    kept = round(_count_slots(servers) * _KEPT_FRACTION)
    return most_kept(kept, servers, now)


def reservable_slots(servers, now):
    """
    Count the slots of which a part may be reserved for more urgent requests.

    Parameters
    ----------
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    int
        0 while a group is being probed: any request may serve as the probe.
    """
    if _is_any_probed(servers):
        return 0
    return _count_slots(available_servers(servers, now))


def free_to_begin(servers, now):
    """
    Count the places that a request that has just arrived could take.

    Parameters
    ----------
    servers : list
        See `free_places`.
    now : float
        Current time in seconds.

    Returns
    -------
    int or None
        See `free_places`. None if waiting makes no sense, as no server is known, or all
        servers are excluded after failures and no group refuses requests for now; the
        attempt to send the request then yields the reason.
    """
    healths = {server.group_health for server in servers}
    can_wait = not all(_is_accepting(group_health, now) for group_health in healths)
    if not can_wait and not available_servers(servers, now):
        return None
    return free_places(servers, now)


def _is_any_probed(servers):
    healths = {server.group_health for server in servers}
    return any(
        group_health is not None and group_health.is_probed for group_health in healths
    )


def _count_slots(servers):
    return sum(server.entry.slots for server in servers)


def _free_slots(server, now):
    return max(0, int(server.entry.slots - server.load.expected(now)))
