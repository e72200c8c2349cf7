"""Route tables in the durable state: stored, read back, and kept in force."""

from gooseberryyoke_daemon.tables.store import PutOutcome, StoredTable, TableStore
from gooseberryyoke_daemon.tables.watcher import TableWatcher

__all__ = ["PutOutcome", "StoredTable", "TableStore", "TableWatcher"]
