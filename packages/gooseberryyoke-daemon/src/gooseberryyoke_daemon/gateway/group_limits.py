"""The limits on the requests that run in groups which step together."""

import trio

from gooseberryyoke.placement import PEER_LIMIT_TTL_S, GroupConcurrency, GroupSize
from gooseberryyoke_daemon.logs import log_event

__all__ = ["GroupLimits"]

_TICK_S = 0.05
_IDLE_TICK_S = 1.0
"""While no service is managed for contention."""
_TOLD_FOR_S = 1.0
"""Leaves half a second of a figure's life for its way to other data centres."""
_TELL_AGAIN_S = 0.4
"""Between two words of a figure that has not changed."""
_LOG_PAUSE_S = 1.0
"""Between two lines on the limit of one group."""
_FIGURE_LIFE_MS = round(1000 * PEER_LIMIT_TTL_S)


class _Group:
    """
    What is known of one group.

    Attributes
    ----------
    shown : int or None
        Limit that the last line of the log told.
    shown_s, told_s : float
        When the log and the other gateways were told last.
    told : int or None
        Figure that the other gateways were told last.
    """

    __slots__ = ("group_health", "shown", "shown_s", "began_s", "told", "told_s")

    def __init__(self, group_health):
        self.group_health = group_health
        self.shown = self.told = None
        self.shown_s = self.began_s = self.told_s = float("-inf")


class GroupLimits:
    """
    Keeps the limits of the groups whose services are managed for contention.

    Parameters
    ----------
    by_id : dict of str to Server
        The servers that are known, kept up to date by its owner.
    is_contended : callable
        Tells whether a service, given by its name, is managed for contention.
    """

    __slots__ = (
        "_by_id",
        "_is_contended",
        "_paces",
        "_groups",
        "_faults",
        "_services",
        "_members",
        "_members_of",
    )

    def __init__(self, by_id, is_contended):
        self._by_id = by_id
        self._is_contended = is_contended
        self._paces = {}
        self._groups = {}
        self._faults = {}
        self._services = self._members_of = None
        self._members = {}

    def servers_changed(self):
        """Note that the known servers or their announcements have changed."""
        self._services = self._members_of = None

    def use_table(self, table):
        """
        Take the declared costs of a new table.

        Parameters
        ----------
        table : RouteTable
        """
        self._paces = {name: found.pace for name, found in table.services.items()}

    async def run(self):
        """Keep the limits up to date until cancelled."""
        while True:
            self.tick()
            await trio.sleep(_TICK_S if self._groups else _IDLE_TICK_S)

    def tick(self):
        """Bring all limits up to date."""
        now = trio.current_time()
        members = self._contended_members()
        for name in set(self._groups) - set(members):
            self._end(name, self._groups.pop(name), now)
        for name, (servers, size) in members.items():
            group = self._groups.get(name)
            if group is None:
                group = self._groups[name] = _Group(servers[0].group_health)
                group.group_health.concurrency = GroupConcurrency()
            self._tick_group(name, group, servers, size, now)

    def _contended_members(self):
        """Give the servers of each contended group, and its size."""
        if self._services is None:
            grouped = (s for s in self._by_id.values() if s.group_health is not None)
            self._services = {server.entry.service for server in grouped}
        contended = {name for name in self._services if self._is_contended(name)}
        # Kept, as all this is asked 20 times a second and seldom changes.
        if contended != self._members_of:
            self._members_of = contended
            self._members = _by_group(self._by_id.values(), contended)
        return self._members

    def _tick_group(self, name, group, servers, size, now):
        service = servers[0].entry.service
        limit = group.group_health.concurrency
        running = sum(server.load.expected(now) for server in servers)
        limit.tick(running, size, self._paces.get(service), now)
        self._note_fault(service, limit.fault)
        if (limit.limit is None) == (group.shown is None):
            return
        if now - group.shown_s >= _LOG_PAUSE_S:
            self._show(name, group, size.slots, now)

    def _note_fault(self, service, fault):
        if fault is not None and self._faults.get(service) is not self._paces[service]:
            # Once for each declared cost.
            self._faults[service] = self._paces[service]
            log_event("step-cost-ignored", level="warning", service=service, why=fault)

    def _show(self, name, group, slots, now):
        limit = group.group_health.concurrency
        group.shown, group.shown_s = limit.limit, now
        if limit.limit is None:
            self._log_end(name, group, limit.cause, now)
            return
        group.began_s = now
        log_event(
            "group-limit-began",
            group=name,
            limit=limit.limit,
            slots=slots,
            cause=limit.cause,
            gap_ms=round(1000 * limit.gap_s),
            running=round(limit.running),
        )

    def _log_end(self, name, group, cause, now):
        lasted_ms = round(1000 * (now - group.began_s))
        log_event("group-limit-ended", group=name, cause=cause, lasted_ms=lasted_ms)

    def _end(self, name, group, now):
        group.group_health.concurrency = None
        if group.shown is not None:
            self._log_end(name, group, "not-contended", now)

    def limits(self):
        """
        Tell how many requests may run in each group.

        Returns
        -------
        dict of str to int or None
            By group, of services that are managed for contention; None while
            nothing limits it.
        """
        return {
            name: group.group_health.concurrency.limit
            for name, group in self._groups.items()
        }

    def new_figures(self):
        """
        Give the figures that other gateways are to be told.

        Returns
        -------
        dict of str to list
            By group, the limit in requests and its age in milliseconds. Figures that
            the others were told a moment ago and that have not changed are left out.
        """
        now = trio.current_time()
        figures = {}
        for name, group in self._groups.items():
            figure = group.group_health.concurrency.limit_to_send(now)
            if figure is None or figure[1] > _TOLD_FOR_S:
                continue
            limit, age_s = figure
            if limit != group.told or now - group.told_s >= _TELL_AGAIN_S:
                group.told, group.told_s = limit, now
                figures[name] = [limit, round(1000 * age_s)]
        return figures

    def take_figures(self, gateway, figures):
        """
        Take another gateway's figures.

        Parameters
        ----------
        gateway : str
        figures : dict of str to list
            As of `new_figures`. Words of other forms are left out.

        Raises
        ------
        TypeError, ValueError
            If any word has another form; the others have been taken.
        """
        now = trio.current_time()
        fault = None
        for name, word in dict(figures).items():
            try:
                limit, age_ms = _checked(word)
            except (TypeError, ValueError) as exc:
                fault = exc
                continue
            group = self._groups.get(name)
            if group is not None:
                group.group_health.concurrency.update_peer_limit(
                    gateway, limit, now - age_ms / 1000
                )
        if fault is not None:
            raise fault


def _by_group(servers, services):
    """Give the servers of some services by group, with the size of each group."""
    members = {}
    for server in servers:
        if server.group_health is not None and server.entry.service in services:
            members.setdefault(server.entry.place.group, []).append(server)
    return {
        name: (found, GroupSize(sum(s.entry.slots for s in found), len(found)))
        for name, found in members.items()
    }


def _checked(word):
    limit, age_ms = word
    if type(limit) is not int or limit < 0:
        raise ValueError(f"group limit {limit!r} is no whole number from 0")
    if type(age_ms) is not int or not 0 <= age_ms <= _FIGURE_LIFE_MS:
        raise ValueError(f"age {age_ms!r} of a group limit is not within bounds")
    return limit, age_ms
