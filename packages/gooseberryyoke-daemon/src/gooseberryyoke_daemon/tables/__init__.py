"""Route tables in the durable state: stored, read back, and kept in force."""

from gooseberryyoke_daemon.tables.probe import TableProbe
from gooseberryyoke_daemon.tables.store import (
    PutOutcome,
    StoredTable,
    TableStore,
    index_of_text,
)
from gooseberryyoke_daemon.tables.told import ParentTables, TableRelay, ToldTables
from gooseberryyoke_daemon.tables.watcher import TableWatcher

__all__ = [
    "ParentTables",
    "PutOutcome",
    "StoredTable",
    "TableProbe",
    "TableRelay",
    "TableStore",
    "TableWatcher",
    "ToldTables",
    "index_of_text",
]
