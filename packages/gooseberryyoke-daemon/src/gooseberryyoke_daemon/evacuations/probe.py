"""Keeps a control process's knowledge of evacuations fresh."""

from gooseberryyoke_daemon.tables.majority_probe import MajorityProbe

__all__ = ["EvacuationProbe"]


class EvacuationProbe(MajorityProbe):
    """
    Reads the state of evacuations when nobody has confirmed it lately.

    `TableProbe` logs whether a majority can be read.

    Parameters
    ----------
    store : EvacuationStore
    told : ToldEvacuations
    rng : random.Random
    """

    __slots__ = ("_store", "_told")

    def __init__(self, store, told, rng):
        super().__init__(rng)
        self._store = store
        self._told = told

    async def _find(self):
        return await self._store.newest()

    def _take(self, found, start_s):
        self._told.take(found, start_s)

    def _age_s(self, now):
        return self._told.news.age_s(now)
