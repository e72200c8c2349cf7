"""Keeps a control process's knowledge of the newest table fresh."""

from returns.result import Failure

from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.tables.majority_probe import MajorityProbe

__all__ = ["TableProbe"]


class TableProbe(MajorityProbe):
    """
    Reads the index of the newest table when nobody has confirmed it lately.

    Parameters
    ----------
    store : TableStore
    news : TableView
    on_newer : callable
        Called when a newer table has been found.
    rng : random.Random
    """

    __slots__ = ("_store", "_news", "_on_newer", "_is_reachable")

    def __init__(self, store, news, on_newer, rng):
        super().__init__(rng)
        self._store = store
        self._news = news
        self._on_newer = on_newer
        self._is_reachable = True

    async def _find(self):
        found = await self._store.index()
        self._note_reachable(found)
        return found

    def _take(self, found, start_s):
        if self._news.update(found, start_s):
            self._on_newer()

    def _age_s(self, now):
        return self._news.age_s(now)

    def _note_reachable(self, found):
        is_reachable = not isinstance(found, Failure)
        if is_reachable != self._is_reachable:
            event = "replicas-regained" if is_reachable else "replicas-lost"
            why = None if is_reachable else str(found.failure())
            log_event(event, level="warning", held_version=self._news.version, why=why)
        self._is_reachable = is_reachable
