"""Exceptions of the data folder."""

__all__ = ["DamagedFile", "DiskFailed", "FolderInUse", "StorageError"]


class StorageError(Exception):
    """Base of this subject's exceptions."""


class DamagedFile(StorageError):
    """
    A file holds something else than what was synced to it.

    Parameters
    ----------
    name : str
        The file.
    offset : int
        Where the damage begins, in bytes.
    detail : str
        What was found and what was expected.
    """

    def __init__(self, name, offset, detail):
        super().__init__(f"{name} is damaged at byte {offset}: {detail}")
        self.name = name
        self.offset = offset


class DiskFailed(StorageError):
    """A write or sync failed; nothing later on this disk can be trusted."""


class FolderInUse(StorageError):
    """Another process holds the data folder."""
