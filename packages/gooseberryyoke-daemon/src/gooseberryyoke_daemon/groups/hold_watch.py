"""Completes changes whose driver is gone."""

import trio
from loguru import logger

from gooseberryyoke.expert.hold_rank import is_hold_candidate
from gooseberryyoke_daemon.groups.group_calls import GroupCalls, RoundEnded
from gooseberryyoke_daemon.logs import log_event

__all__ = ["HoldWatch"]

_LOOK_S = 0.15
_SELDOM_LOOK_S = 2.0
"""Beside an engine that no driver chooses to hold its group: one that knew the group by
other members may have. Each look is a call, and ranks are many."""
_STUCK_S = 0.4
"""A change holds its group for some hundredths of a second. Streams are late after a
pause of 0.12 s and their callers leave after two seconds."""


class HoldWatch:
    """
    Looks whether the engine beside this process holds its group for too long.

    The driver may freeze between hold and release, and its successor takes over only
    when the lease has run out; until then no request of the group goes on. Completing
    a change needs no lease, since every process that does so gives the same orders.

    Parameters
    ----------
    group : str
    engine : object
        See `RankOrders`.
    members : callable
        As of `ArmedDriver`.
    client : HttpClient
    fence : callable
        Gives the highest fencing number that is known.
    engine_at : callable
        See `GroupCalls`.
    rank : callable
        Gives the rank of the engine beside this process.
    """

    def __init__(self, group, engine, members, client, fence, engine_at, rank):
        self._rank = rank
        self._engine_at = engine_at
        self._group = group
        self._engine = engine
        self._members = members
        self._client = client
        self._fence = fence

    async def run(self):
        """Watch until cancelled."""
        step, since_s = None, 0.0
        while True:
            await trio.sleep(_LOOK_S if self._may_hold() else _SELDOM_LOOK_S)
            status = await self._engine.status()
            held = None if status is None else status.held
            if held != step:
                step, since_s = held, trio.current_time()
            elif held is not None and trio.current_time() - since_s > _STUCK_S:
                await self._complete(held)

    def _may_hold(self):
        members = self._members()
        if members is None:
            return True
        return is_hold_candidate(
            self._rank(), [member.address.host for member in members]
        )

    async def _complete(self, step):
        members = self._members()
        if members is None:
            return
        fence = self._fence()
        calls = GroupCalls(
            self._group,
            self._client,
            members,
            fence,
            lambda: fence == self._fence(),
            self._engine_at,
        )
        try:
            await calls.complete(await calls.look())
        except RoundEnded as exc:
            log_event(
                "map-change-stuck",
                level="warning",
                group=self._group,
                step=step,
                fence=fence,
                why=str(exc),
            )
        except Exception as exc:
            logger.opt(exception=exc).error("hold-watch-failed")
