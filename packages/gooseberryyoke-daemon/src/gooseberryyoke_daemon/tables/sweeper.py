"""Removes the texts of replaced tables from the durable state."""

from returns.result import Success
from trio import TASK_STATUS_IGNORED, current_time, sleep

from gooseberryyoke.register import Conflict
from gooseberryyoke.routing.text_retention import TextRetention, text_prefix
from gooseberryyoke_daemon.logs import log_event

__all__ = ["TextSweeper"]

_LOOK_S = 1.0
_OPERATION_S = 0.9


class TextSweeper:
    """
    Removes texts that nobody can need any more, at one control process for all.

    Kept for ever, they would fill disks and memory, and a replica that has lost its
    disk would copy all of them before it votes.

    Parameters
    ----------
    registers : RegisterClient
    news : TableView
        Knows the newest table.
    keeper : SeatKeeper
        Tells what the replica of this process holds, and whether this process sweeps.
    rng : random.Random
    """

    __slots__ = ("_registers", "_news", "_keeper", "_rng", "_retention")

    def __init__(self, registers, news, keeper, rng):
        self._registers = registers
        self._news = news
        self._keeper = keeper
        self._rng = rng
        self._retention = TextRetention()

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Sweep until cancelled."""
        task_status.started()
        while True:
            await sleep(_LOOK_S * self._rng.uniform(0.5, 1.5))
            if self._news.index is not None and self._keeper.is_first_holder():
                await self._sweep(self._news.index)

    async def _sweep(self, index):
        stored = self._removable()
        removed = 0
        for key in self._retention.due(stored, index, current_time()):
            version = stored[key].version
            collected = await self._registers.collect(key, version, _OPERATION_S)
            if isinstance(collected, Success):
                removed += stored[key].value is not None
            elif not isinstance(collected.failure(), Conflict):
                # No majority answers; the next look tries again.
                break
            self._retention.note_tried(key, current_time())
        if removed:
            log_event("table-texts-removed", count=removed, newest=index.version)

    def _removable(self):
        """
        Give the cells of texts that an attempt to remove may do something about.

        What is left of a removed text can be dropped only once each replica is told. To
        try that while one is away would write to the disks of the others for nothing.
        """
        cells = self._keeper.stored_cells(text_prefix())
        if self._keeper.hears_all_seats():
            return cells
        return {key: cell for key, cell in cells.items() if cell.value is not None}
