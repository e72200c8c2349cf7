"""The data folder on a real disk."""

import fcntl
import os
from pathlib import Path

import trio

from gooseberryyoke_daemon.storage.exceptions import FolderInUse

__all__ = ["FolderDisk"]

_LOCK_NAME = "lock"
_PARTIAL_SUFFIX = ".partial"


class FolderDisk:
    """
    Files of one folder; methods block, `run` calls them in a thread.

    Parameters
    ----------
    path : str or Path
        The folder; made if it isn't there.

    Raises
    ------
    FolderInUse
        If another process holds it.
    """

    def __init__(self, path):
        self._path = Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._sync_directory(self._path.parent)
        self._open = {}
        self._lock = self._take_lock()

    def _take_lock(self):
        fd = os.open(self._path / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(fd)
            detail = f"data folder {self._path} is held by another process"
            raise FolderInUse(detail) from exc
        return fd

    async def run(self, function, *args):
        """
        Call a blocking method in a thread.

        Parameters
        ----------
        function : callable
            One of this object's methods.
        *args
            Its arguments.

        Returns
        -------
        object
            What the method returns.
        """
        return await trio.to_thread.run_sync(function, *args)

    def names(self):
        """
        List the whole files; remove what unfinished writes left behind.

        Returns
        -------
        list of str
            Sorted.
        """
        found = []
        for path in self._path.iterdir():
            if path.name.endswith(_PARTIAL_SUFFIX):
                path.unlink()
            elif path.name != _LOCK_NAME:
                found.append(path.name)
        return sorted(found)

    def read(self, name):
        """
        Read a file whole.

        Parameters
        ----------
        name : str
            The file.

        Returns
        -------
        bytes
        """
        return (self._path / name).read_bytes()

    def create(self, name):
        """
        Make an empty file that outlasts a crash.

        Parameters
        ----------
        name : str
            The file.
        """
        fd = self._descriptor(name)
        os.fsync(fd)
        self._sync_directory(self._path)

    def append(self, name, data):
        """
        Append and sync.

        Parameters
        ----------
        name : str
            The file.
        data : bytes
            What to append.
        """
        fd = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]
        os.fsync(fd)

    def truncate(self, name, size):
        """
        Cut a file's end off, and sync.

        Parameters
        ----------
        name : str
            The file.
        size : int
            Bytes to keep.
        """
        fd = self._descriptor(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def write_whole(self, name, chunks):
        """
        Write a file that is there whole or not at all, and sync.

        Parameters
        ----------
        name : str
            The file.
        chunks : iterable of bytes
            Its content.

        Returns
        -------
        int
            Bytes written.
        """
        partial = self._path / (name + _PARTIAL_SUFFIX)
        with partial.open("wb") as out:
            for chunk in chunks:
                out.write(chunk)
            size = out.tell()
            out.flush()
            os.fsync(out.fileno())
        partial.rename(self._path / name)
        self._sync_directory(self._path)
        return size

    def remove(self, name):
        """
        Remove a file.

        Parameters
        ----------
        name : str
            The file.
        """
        self._forget_descriptor(name)
        (self._path / name).unlink()

    def set_aside(self, label):
        """
        Move all files into a folder beside, for whoever wants to look into them.

        Parameters
        ----------
        label : str
            Stands in the new folder's name.

        Returns
        -------
        str
            Name of the new folder.
        """
        number = 1
        while (self._path.parent / f"{self._path.name}.{label}-{number}").exists():
            number += 1
        target = self._path.parent / f"{self._path.name}.{label}-{number}"
        target.mkdir()
        for name in self.names():
            self._forget_descriptor(name)
            (self._path / name).rename(target / name)
        self._sync_directory(target)
        self._sync_directory(self._path)
        return target.name

    def close(self):
        """Close the files and let go of the folder."""
        for name in list(self._open):
            self._forget_descriptor(name)
        os.close(self._lock)

    def _forget_descriptor(self, name):
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)

    def _descriptor(self, name):
        if name not in self._open:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._open[name] = os.open(self._path / name, flags, 0o600)
        return self._open[name]

    @staticmethod
    def _sync_directory(path):
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
