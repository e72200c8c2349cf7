"""The table that an entry goes by."""

from random import Random

from returns.result import Failure
from trio import TASK_STATUS_IGNORED, Event, current_time, move_on_after

from gooseberryyoke_daemon.logs import log_event

__all__ = ["TableWatcher"]

_CHECK_S = 0.4
"""Between two looks for a newer table. A fifth of the two seconds within which
operators expect a table in force, so that a look may fail twice."""
_SLOWEST_CHECK_S = 0.8
"""After looks that failed one after the other. Processes that all go on at the usual
pace keep replicas that come back after the loss of everything from doing so."""


class TableWatcher:
    """
    Follows the newest table.

    Parameters
    ----------
    store : TableStore, ToldTables or ParentTables
        Whose `newest` gives the table to go by.
    decode : callable
        Takes a text and gives a Result of RouteTable, list of str.
    on_install : callable, optional
        Takes each table that comes into force.
    check_s : float
        Between two reads, once there is a table.
    search_s : float
        Between two reads until then.
    rng : random.Random, optional
        Spreads the reads of many processes.

    Attributes
    ----------
    table : RouteTable or None
        None until one was read. An entry that loses the replicas goes on with the
        table that it has: refusing every caller costs them more than an older route.
    confirmed_s : float
        When the table was last known to be the newest, on trio's clock.
    first_after_s : float or None
        From the start of `run` to the first table in force.
    """

    def __init__(
        self,
        store,
        decode,
        on_install=lambda _: None,
        check_s=_CHECK_S,
        search_s=_CHECK_S,
        rng=None,
    ):
        self._check_s = check_s
        self._search_s = search_s
        self._rng = rng or Random()
        self._failures = 0
        self.table = None
        self.confirmed_s = float("-inf")
        self._store = store
        self._decode = decode
        self._on_install = on_install
        self.first_after_s = None
        self._is_reachable = True
        self._news = Event()
        self._began_s = 0.0

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Check for newer tables until cancelled."""
        task_status.started()
        self._began_s = current_time()
        while True:
            await self.check()
            with move_on_after(self._pause_s()):
                await self._news.wait()
            self._news = Event()

    def look_now(self):
        """Look for a newer table without waiting: there is one."""
        self._news.set()

    def _pause_s(self):
        pause_s = self._search_s if self.table is None else self._check_s
        if self._failures == 0:
            return pause_s
        slowest_s = max(pause_s, _SLOWEST_CHECK_S)
        pause_s = min(pause_s * 2 ** (self._failures - 1), slowest_s)
        return pause_s * self._rng.uniform(0.5, 1.0)

    async def check(self):
        """Read the newest table once, and install it if it is newer."""
        start_s = current_time()
        found = await self._store.newest()
        self._note_reachable(found)
        if isinstance(found, Failure):
            self._failures += 1
            return
        self._failures = 0
        self.confirmed_s = start_s
        stored = found.unwrap()
        # A table never goes back within one life of the process.
        if stored is None or self._is_held(stored.version):
            return
        self._install(stored, current_time() - start_s)

    def _is_held(self, version):
        return self.table is not None and self.table.version >= version

    def _install(self, stored, read_s):
        decoded = self._decode(stored.text)
        if isinstance(decoded, Failure):
            log_event(
                "table-undecodable",
                level="error",
                version=stored.version,
                mistakes=decoded.failure()[:3],
            )
            return
        self.table = decoded.unwrap()
        if self.first_after_s is None:
            self.first_after_s = current_time() - self._began_s
        log_event(
            "table-installed",
            version=stored.version,
            routes=len(self.table.routes),
            read_ms=round(read_s * 1000),
            after_ms=round((current_time() - self._began_s) * 1000),
        )
        self._on_install(self.table)

    def _note_reachable(self, found):
        is_reachable = not isinstance(found, Failure)
        if is_reachable != self._is_reachable:
            event = "replicas-regained" if is_reachable else "replicas-lost"
            held = None if self.table is None else self.table.version
            why = None if is_reachable else str(found.failure())
            log_event(event, level="warning", held_version=held, why=why)
        self._is_reachable = is_reachable
