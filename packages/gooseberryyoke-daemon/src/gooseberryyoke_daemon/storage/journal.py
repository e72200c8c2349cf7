"""A log with group commit, cut short by snapshots."""

import re

import orjson
import trio

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.storage.exceptions import DamagedFile, DiskFailed
from gooseberryyoke_daemon.storage.framing import frame, read_frames

__all__ = ["Journal", "Recovered", "recover"]

_SNAPSHOT_FLOOR_BYTES = 4 * 2**20
_NAME = re.compile(r"(log|snapshot)-(\d{10})")


def _name(kind, generation):
    return f"{kind}-{generation:010d}"


class Recovered(Record):
    """
    What a data folder held.

    Parameters
    ----------
    values : list
        JSON-able values in the order of their appending; a snapshot's first.
    position : int
        Count of all values ever appended.
    generation : int
        Of the log to append to.
    cut_bytes : int
        Length of the torn tail that was cut.
    is_fresh : bool
        The folder held nothing.
    """

    __slots__ = ("values", "position", "generation", "cut_bytes", "is_fresh")

    def __init__(self, values, position, generation, cut_bytes, is_fresh):
        self.values = values
        self.position = position
        self.generation = generation
        self.cut_bytes = cut_bytes
        self.is_fresh = is_fresh


def recover(disk):
    """
    Read a data folder and make it ready for appending; blocks.

    Parameters
    ----------
    disk : FolderDisk or MemoryDisk
        The folder.

    Returns
    -------
    Recovered

    Raises
    ------
    DamagedFile
        If anything but the very end of the last log is bad, or files are missing.
    """
    logs, snapshots = _generations(disk)
    if not logs and not snapshots:
        disk.create(_name("log", 0))
        return Recovered([], 0, 0, 0, is_fresh=True)
    base = max(snapshots, default=0)
    values, position = ([], 0) if not snapshots else _read_snapshot(disk, base)
    kept = [generation for generation in logs if generation >= base]
    if kept != list(range(base, base + len(kept))) or not kept:
        detail = f"logs {kept} found, expected each from {base} on"
        raise DamagedFile(_name("log", base), 0, detail)
    cut_bytes = 0
    for generation in kept:
        found, cut_bytes = _read_log(disk, generation, position, kept[-1])
        values += found
        position += len(found)
    _remove_older(disk, logs, snapshots, base)
    return Recovered(values, position, kept[-1], cut_bytes, is_fresh=False)


def _generations(disk):
    found = {"log": [], "snapshot": []}
    for name in disk.names():
        match = _NAME.fullmatch(name)
        if match:
            found[match[1]].append(int(match[2]))
    return sorted(found["log"]), sorted(found["snapshot"])


def _read_snapshot(disk, generation):
    name = _name("snapshot", generation)
    data = disk.read(name)
    frames = read_frames(name, data, 0)
    if frames.is_torn or not frames.payloads:
        raise DamagedFile(name, frames.good_bytes, "snapshot ends early")
    head, *payloads = frames.payloads
    position, count = orjson.loads(head)
    if count != len(payloads):
        detail = f"{len(payloads)} records, expected {count}"
        raise DamagedFile(name, len(data), detail)
    return [orjson.loads(payload) for payload in payloads], position


def _read_log(disk, generation, position, last):
    name = _name("log", generation)
    data = disk.read(name)
    frames = read_frames(name, data, position)
    cut_bytes = len(data) - frames.good_bytes
    if frames.is_torn:
        if generation != last:
            raise DamagedFile(name, frames.good_bytes, "torn, but not the last log")
        disk.truncate(name, frames.good_bytes)
    return [orjson.loads(payload) for payload in frames.payloads], cut_bytes


def _remove_older(disk, logs, snapshots, base):
    for kind, generations in (("log", logs), ("snapshot", snapshots)):
        for generation in generations:
            if generation < base:
                disk.remove(_name(kind, generation))


class Journal:
    """
    Appends values and syncs them, one sync for all that wait.

    Parameters
    ----------
    disk : FolderDisk or MemoryDisk
        The folder, after `recover`.
    recovered : Recovered
        What `recover` returned.
    dump : callable
        Returns the list of values that rebuild the state as of the last `append`.
    encode : callable, optional
        Makes a value JSON-able; called in a thread for a snapshot.
    snapshot_bytes : int
        The log is cut short once it is longer than this and the last snapshot.

    Attributes
    ----------
    position : int
        Count of values appended, synced or not.
    synced : int
        Count of values synced.
    commits, written_bytes, snapshots : int
        Counts since the start.
    """

    def __init__(
        self,
        disk,
        recovered,
        dump,
        encode=lambda value: value,
        snapshot_bytes=_SNAPSHOT_FLOOR_BYTES,
    ):
        self.position = recovered.position
        self.synced = recovered.position
        self.commits = 0
        self.written_bytes = 0
        self.snapshots = 0
        self._disk = disk
        self._dump = dump
        self._encode = encode
        self._generation = recovered.generation
        self._floor_bytes = snapshot_bytes
        self._limit_bytes = snapshot_bytes
        self._log_bytes = 0
        self._pending = []
        self._work = trio.Event()
        self._progress = trio.Event()
        self._failure = None
        self._is_snapshotting = False

    def append(self, value):
        """
        Take a value; it lasts once `sync` has returned for its position.

        Parameters
        ----------
        value : object
            JSON-able, or made so by ``encode``.

        Returns
        -------
        int
            Position to wait for.
        """
        self._pending.append(frame(self.position, self._payload(value)))
        self.position += 1
        self._work.set()
        return self.position

    async def sync(self, position):
        """
        Wait until all values up to a position are synced.

        Parameters
        ----------
        position : int
            As returned by `append`.

        Raises
        ------
        DiskFailed
            If a write or sync failed, now or earlier.
        """
        while self.synced < position:
            if self._failure is not None:
                raise DiskFailed(f"position {position} is not synced: {self._failure}")
            await self._progress.wait()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Write and sync what is appended, until cancelled.

        Parameters
        ----------
        task_status : object
            Told once appends are taken care of.

        Raises
        ------
        DiskFailed
            At the first failure. Nothing is tried again: after a failed sync the
            system may have dropped the data and report the next sync as done.
        """
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    await self._work.wait()
                    self._work = trio.Event()
                    await self._commit(nursery)
        except* OSError as group:
            raise DiskFailed(f"data folder: {group.exceptions[0]}") from group
        finally:
            # Whoever still waits would wait for ever.
            self._fail("the journal has ended")

    def _payload(self, value):
        return orjson.dumps(self._encode(value))

    def _fail(self, reason):
        self._failure = reason
        self._wake()

    def _wake(self):
        self._progress.set()
        self._progress = trio.Event()

    async def _commit(self, nursery):
        batch = b"".join(self._pending)
        self._pending = []
        position = self.position
        values = self._dump() if self._is_snapshot_due(len(batch)) else None
        name = _name("log", self._generation)
        if batch:
            await self._disk.run(self._disk.append, name, batch)
        self.commits += 1
        self.written_bytes += len(batch)
        self._log_bytes += len(batch)
        self.synced = position
        self._wake()
        if values is not None:
            await self._rotate(values, position, nursery)

    def _is_snapshot_due(self, batch_bytes):
        length = self._log_bytes + batch_bytes
        return length > self._limit_bytes and not self._is_snapshotting

    async def _rotate(self, values, position, nursery):
        # The new log is there before the snapshot that it follows: a crash between
        # the two leaves the older snapshot with both logs, which is whole.
        await self._disk.run(self._disk.create, _name("log", self._generation + 1))
        self._generation += 1
        self._log_bytes = 0
        self._is_snapshotting = True
        nursery.start_soon(self._snapshot, self._generation, values, position)

    async def _snapshot(self, generation, values, position):
        name = _name("snapshot", generation)
        chunks = self._snapshot_frames(values, position)
        size = await self._disk.run(self._disk.write_whole, name, chunks)
        for older in await self._disk.run(self._older, generation):
            await self._disk.run(self._disk.remove, older)
        self.snapshots += 1
        self._limit_bytes = max(self._floor_bytes, size)
        self._is_snapshotting = False

    def _older(self, generation):
        logs, snapshots = _generations(self._disk)
        return [
            *(_name("log", item) for item in logs if item < generation),
            *(_name("snapshot", item) for item in snapshots if item < generation),
        ]

    def _snapshot_frames(self, values, position):
        yield frame(0, orjson.dumps([position, len(values)]))
        for number, value in enumerate(values, start=1):
            yield frame(number, self._payload(value))
