"""The data folder: a synced log of checksummed records, and snapshots."""

from gooseberryyoke_daemon.storage.disk import FolderDisk
from gooseberryyoke_daemon.storage.exceptions import (
    DamagedFile,
    DiskFailed,
    FolderInUse,
    StorageError,
)
from gooseberryyoke_daemon.storage.journal import Journal, Recovered, recover

__all__ = [
    "DamagedFile",
    "DiskFailed",
    "FolderDisk",
    "FolderInUse",
    "Journal",
    "Recovered",
    "StorageError",
    "recover",
]
