"""Keeps a control process's knowledge of the newest table fresh."""

from returns.result import Failure
from trio import TASK_STATUS_IGNORED, current_time, sleep

from gooseberryyoke_daemon.logs import log_event

__all__ = ["TableProbe"]

_FRESH_S = 1.0
"""For which a majority's word is good enough. An acknowledged table whose process ends
before it could tell of it must be in force everywhere within two seconds."""
_SPREAD_S = 0.3
_RETRY_S = 0.3
_SLOWEST_RETRY_S = 2.0
"""After reads that failed one after the other. What is asked of replicas that come back
after the loss of everything keeps them from doing so."""


class TableProbe:
    """
    Reads the index of the newest table when nobody has confirmed it lately.

    Parameters
    ----------
    store : TableStore
    news : TableNews
    on_newer : callable
        Called when a newer table has been found.
    rng : random.Random
    """

    __slots__ = ("_store", "_news", "_on_newer", "_rng", "_pause_s", "_is_reachable")

    def __init__(self, store, news, on_newer, rng):
        self._store = store
        self._news = news
        self._on_newer = on_newer
        self._rng = rng
        self._pause_s = _RETRY_S
        self._is_reachable = True

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Read until cancelled."""
        task_status.started()
        while True:
            left_s = _FRESH_S - self._news.age_s(current_time())
            if left_s > 0:
                await sleep(left_s + self._rng.uniform(0, _SPREAD_S))
                continue
            if not await self._read():
                await sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
                self._pause_s = min(2 * self._pause_s, _SLOWEST_RETRY_S)

    async def _read(self):
        start_s = current_time()
        found = await self._store.index()
        self._note_reachable(found)
        if isinstance(found, Failure):
            return False
        self._pause_s = _RETRY_S
        if self._news.take(found.unwrap(), start_s):
            self._on_newer()
        return True

    def _note_reachable(self, found):
        is_reachable = not isinstance(found, Failure)
        if is_reachable != self._is_reachable:
            event = "replicas-regained" if is_reachable else "replicas-lost"
            why = None if is_reachable else str(found.failure())
            log_event(event, level="warning", held_version=self._news.version, why=why)
        self._is_reachable = is_reachable
