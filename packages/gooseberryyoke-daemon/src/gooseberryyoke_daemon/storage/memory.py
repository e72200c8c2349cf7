"""A disk in memory for tests: loses what is not synced, tears and flips."""

import trio

from gooseberryyoke_daemon.storage.exceptions import StorageError

__all__ = ["MemoryDisk"]


class _File:
    __slots__ = ("data", "synced")

    def __init__(self):
        self.data = b""
        self.synced = b""


class MemoryDisk:
    """
    Same methods as `FolderDisk`, without threads; works under a mock clock.

    Parameters
    ----------
    sync_s : float
        Time that each call through `run` takes.

    Attributes
    ----------
    fail_next : bool
        The next append writes half of its data and raises ``OSError``.
    syncs : int
        How often an append was synced.
    """

    def __init__(self, sync_s=0.0):
        self.fail_next = False
        self.syncs = 0
        self._sync_s = sync_s
        self._files = {}
        self._synced_files = {}
        self._aside = 0

    async def run(self, function, *args):
        """See `FolderDisk.run`; the call takes effect at the end of its time."""
        if self._sync_s:
            await trio.sleep(self._sync_s)
        else:
            await trio.lowlevel.checkpoint()
        return function(*args)

    def names(self):
        """See `FolderDisk.names`."""
        return sorted(self._files)

    def read(self, name):
        """See `FolderDisk.read`."""
        return self._files[name].data

    def create(self, name):
        """See `FolderDisk.create`."""
        self._files.setdefault(name, _File())
        self._sync_directory()

    def append(self, name, data):
        """See `FolderDisk.append`."""
        file = self._files.setdefault(name, _File())
        if self.fail_next:
            self.fail_next = False
            file.data += data[: len(data) // 2]
            raise OSError(f"no space for {len(data)} bytes in {name}")
        file.data += data
        file.synced = file.data
        self.syncs += 1

    def truncate(self, name, size):
        """See `FolderDisk.truncate`."""
        file = self._files[name]
        file.data = file.synced = file.data[:size]

    def write_whole(self, name, chunks):
        """See `FolderDisk.write_whole`."""
        file = _File()
        file.data = file.synced = b"".join(chunks)
        self._files[name] = file
        self._sync_directory()
        return len(file.data)

    def remove(self, name):
        """See `FolderDisk.remove`."""
        del self._files[name]

    def set_aside(self, label):
        """See `FolderDisk.set_aside`."""
        self._files.clear()
        self._sync_directory()
        self._aside += 1
        return f"{label}-{self._aside}"

    def close(self):
        """See `FolderDisk.close`."""

    def write_unsynced(self, name, data):
        """
        Append without a sync, as a crash in the middle of an append leaves it.

        Parameters
        ----------
        name : str
            The file.
        data : bytes
            What had been handed to the system.
        """
        self._files[name].data += data

    def crash(self, rng=None):
        """
        Lose what is not synced, but for a random part of its beginning.

        Parameters
        ----------
        rng : random.Random, optional
            Chooses how much of an unsynced end stays; nothing if not given.
        """
        self._files = dict(self._synced_files)
        for file in self._files.values():
            unsynced = file.data[len(file.synced) :]
            kept = rng.randint(0, len(unsynced)) if rng else 0
            file.data = file.synced = file.synced + unsynced[:kept]

    def flip(self, name, offset, mask=1):
        """
        Flip bits of a byte.

        Parameters
        ----------
        name : str
            The file.
        offset : int
            The byte, negative from the end.
        mask : int
            Bits to flip.
        """
        file = self._files[name]
        if not file.data:
            raise StorageError(f"{name} is empty, nothing to flip")
        data = bytearray(file.data)
        data[offset] ^= mask
        file.data = file.synced = bytes(data)

    def copy(self):
        """
        Copy the disk as it is, for putting it back later.

        Returns
        -------
        MemoryDisk
        """
        other = MemoryDisk(self._sync_s)
        for name, file in self._files.items():
            other._files[name] = _File()
            other._files[name].data = other._files[name].synced = file.data
        other._sync_directory()
        return other

    def _sync_directory(self):
        self._synced_files = dict(self._files)
