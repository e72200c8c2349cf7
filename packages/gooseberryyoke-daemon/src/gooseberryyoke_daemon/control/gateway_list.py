"""The durable list of gateways, as control processes keep it."""

import trio
from returns.result import Failure, Success

from gooseberryyoke.membership.gateway_list import (
    GatewayList,
    GatewayListPlanner,
    GatewayListView,
)
from gooseberryyoke.register import Unavailable
from gooseberryyoke_daemon.logs import log_event

__all__ = ["GatewayListKeeper", "GatewayListStore", "ToldGateways"]

_KEY = "gateways"
_OPERATION_S = 0.9
_LOOK_S = 0.5
"""Between two comparisons with who is there, on average: all control processes look,
and those that find the same difference at the same time disturb each other."""
_WANTED_AGE_S = 1.0
"""Gateways that start use a list that a majority confirmed up to two seconds ago."""
_STORE_AGE_S = 2.0
"""The table's index is read each second as long as a majority answers. Replicas that
come back after the loss of everything are asked for nothing else before that."""
_RETRY_S = 0.3


class GatewayListStore:
    """
    The list, over a register.

    Parameters
    ----------
    registers : RegisterClient
    """

    __slots__ = ("_registers",)

    def __init__(self, registers):
        self._registers = registers

    async def newest(self):
        """
        Read the list, confirmed by a majority.

        Returns
        -------
        Result of (GatewayList, int), RegisterError
            With the version of the register.
        """
        return (await self._registers.read(_KEY, _OPERATION_S)).bind(_decoded)

    async def replace(self, version, gateway_list):
        """
        Write a list, unless another one was written since.

        Parameters
        ----------
        version : int
            Of the register, as it was read.
        gateway_list : GatewayList

        Returns
        -------
        Result of Versioned, RegisterError
        """
        return await self._registers.write(
            _KEY, version, gateway_list.to_json(), _OPERATION_S
        )


class GatewayListKeeper:
    """
    Reads and changes the list when that is due.

    Parameters
    ----------
    store : GatewayListStore or None
        None where no list is kept.
    tables : TableView
        Tells whether a majority of replicas answers.
    there : callable
        Gives the names of the gateways that are there.
    on_news : callable
        Called when followers are to be told.
    rng : random.Random

    Attributes
    ----------
    news : GatewayListView
    """

    def __init__(self, store, tables, there, on_news, rng):
        self.news = GatewayListView()
        self._store = store
        self._tables = tables
        self._there = there
        self._on_news = on_news
        self._rng = rng
        self._plan = GatewayListPlanner()
        self._is_wanted = False
        self._wanted = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Keep the list until cancelled."""
        task_status.started()
        if self._store is None:
            return
        while True:
            now = trio.current_time()
            self._plan.observe(self._there(), now)
            if self._is_due(now) and not await self._refresh():
                await trio.sleep(_RETRY_S * self._rng.uniform(0.5, 1.0))
                continue
            with trio.move_on_after(_LOOK_S * self._rng.uniform(0.5, 1.5)):
                await self._wanted.wait()
            self._wanted = trio.Event()

    def want(self):
        """Note that a follower asks for a list that was confirmed lately."""
        if self._is_fresh(trio.current_time()):
            return
        self._is_wanted = True
        self._wanted.set()

    def is_behind(self, payload):
        """
        Tell whether a follower lacks what is known here.

        Parameters
        ----------
        payload : dict
            Of its call. A follower of an earlier release doesn't tell what it knows.

        Returns
        -------
        bool
        """
        if payload.get("gateways", self.news.revision) != self.news.revision:
            return True
        is_asked = bool(payload.get("wants_gateways"))
        return is_asked and self._is_fresh(trio.current_time())

    def hear(self, packed, told_s):
        """
        Take over what another control process knew at a time.

        Parameters
        ----------
        packed : object
            See `GatewayListView.to_json`. What is malformed is logged and ignored.
        told_s : float
        """
        self._take(self.news.update_from_json, packed, told_s)

    def _take(self, take, content, at_s):
        try:
            is_newer = take(content, at_s)
        except ValueError as exc:
            log_event("gateway-list-unreadable", level="warning", why=str(exc)[:200])
            return
        if is_newer:
            self._on_news()

    def _is_fresh(self, now):
        return self.news.age_s(now) <= _WANTED_AGE_S

    def _is_due(self, now):
        if self._tables.age_s(now) > _STORE_AGE_S:
            return False
        if not self.news.is_known or (self._is_wanted and not self._is_fresh(now)):
            return True
        names = self.news.known.names
        return self._plan.desired(names, now) != names

    async def _refresh(self):
        """Read the list, and write another one if that is due."""
        start_s = trio.current_time()
        found = await self._store.newest()
        if isinstance(found, Failure):
            return False
        stored, version = found.unwrap()
        self._take(self.news.update, stored, start_s)
        if not await self._replace(stored, version):
            return False
        if self._is_wanted:
            self._is_wanted = False
            self._on_news()
        return True

    async def _replace(self, stored, version):
        known = self.news.known
        names = stored.names
        if known.revision > stored.revision:
            # The replicas went back. More names only make shares smaller.
            names = tuple(sorted({*names, *known.names}))
        start_s = trio.current_time()
        wanted = self._plan.desired(names, start_s)
        if wanted == stored.names and known.revision <= stored.revision:
            return True
        after = GatewayList(max(known.revision, stored.revision) + 1, wanted)
        written = await self._store.replace(version, after)
        if isinstance(written, Failure):
            # Another process was first, or the write may be settled yet: the next
            # look reads what has become of it.
            return False
        log_event(
            "gateway-list-stored",
            revision=after.revision,
            listed=len(wanted),
            added=sorted(set(wanted) - set(stored.names)),
            removed=sorted(set(stored.names) - set(wanted)),
        )
        self._take(self.news.update, after, start_s)
        return True


class ToldGateways:
    """
    The list as a gateway is told of it.

    Parameters
    ----------
    cold : ColdServers
    """

    __slots__ = ("_cold", "_news")

    def __init__(self, cold):
        self._cold = cold
        self._news = GatewayListView()

    def hear(self, packed, told_s, there):
        """
        Take over what a control process knew at a time.

        Parameters
        ----------
        packed : object
            See `GatewayListView.to_json`. What is malformed is logged and ignored.
        told_s : float
        there : collection of str
            Names of the gateways that are there; with a list that names this gateway
            they share what cold servers take.
        """
        try:
            is_newer = self._news.update_from_json(packed, told_s)
        except ValueError as exc:
            log_event("gateway-list-unreadable", level="warning", why=str(exc)[:200])
            self._cold.ignore_list()
            return
        if self._news.is_known and (is_newer or self._cold.wants_list()):
            age_s = self._news.age_s(trio.current_time())
            self._cold.use_names(there)
            self._cold.use_list(self._news.known.names, age_s)


def _decoded(versioned):
    if versioned.value is None:
        return Success((GatewayList(), versioned.version))
    try:
        return Success((GatewayList.from_json(versioned.value), versioned.version))
    except ValueError as exc:
        # Written by another release: better nothing than half of it.
        return Failure(Unavailable(False, f"register {_KEY!r}: {exc}"))
