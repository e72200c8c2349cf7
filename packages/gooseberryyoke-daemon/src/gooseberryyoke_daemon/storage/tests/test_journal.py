from random import Random

import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.storage import (
    DamagedFile,
    DiskFailed,
    FolderDisk,
    FolderInUse,
    Journal,
    recover,
)
from gooseberryyoke_daemon.storage.framing import HEADER_BYTES, frame
from gooseberryyoke_daemon.storage.memory import MemoryDisk

LOG = "log-0000000000"


def run(main):
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def journal_of(disk, values, snapshot_bytes=10**9):
    recovered = recover(disk)
    values[:] = recovered.values
    return Journal(disk, recovered, lambda: list(values), snapshot_bytes=snapshot_bytes)


def write(disk, items, snapshot_bytes=10**9):
    """Append one by one, each synced before the next."""
    values = []

    async def main():
        journal = journal_of(disk, values, snapshot_bytes)
        async with trio.open_nursery() as nursery:
            await nursery.start(journal.run)
            for item in items:
                values.append(item)
                await journal.sync(journal.append(item))
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return journal

    return run(main)


def test_synced_values_outlast_a_crash():
    disk = MemoryDisk()
    write(disk, ["a", {"b": 1}])
    disk.crash()
    assert recover(disk).values == ["a", {"b": 1}]


def test_real_folder_keeps_values_and_is_held_once(tmp_path):
    disk = FolderDisk(tmp_path / "data")
    with pytest.raises(FolderInUse):
        FolderDisk(tmp_path / "data")

    async def main():
        values = []
        journal = journal_of(disk, values, snapshot_bytes=200)
        async with trio.open_nursery() as nursery:
            await nursery.start(journal.run)
            for number in range(50):
                values.append(number)
                await journal.sync(journal.append(number))
            while not journal.snapshots:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    trio.run(main)
    disk.close()
    again = FolderDisk(tmp_path / "data")
    assert recover(again).values == list(range(50))
    again.close()


def test_writers_that_wait_together_share_one_sync():
    disk = MemoryDisk(sync_s=0.01)

    async def main():
        journal = journal_of(disk, [])
        async with trio.open_nursery() as nursery:
            await nursery.start(journal.run)
            async with trio.open_nursery() as writers:
                for number in range(100):
                    writers.start_soon(journal.sync, journal.append(number))
            nursery.cancel_scope.cancel()

    run(main)
    assert disk.syncs == 1


def test_sync_returns_only_once_the_disk_has_the_value():
    """
    An acknowledged write is never lost. The waiting writer's value sits in the
    batch after the one being synced; the power goes at the moment it returns.
    """
    disk = MemoryDisk(sync_s=0.01)

    async def main():
        journal = journal_of(disk, [])
        async with trio.open_nursery() as nursery:
            await nursery.start(journal.run)
            journal.append("first")
            await trio.sleep(0.005)
            await journal.sync(journal.append("second"))
            disk.crash()
            nursery.cancel_scope.cancel()

    run(main)
    assert recover(disk).values == ["first", "second"]


@pytest.mark.parametrize("length", range(1, HEADER_BYTES + 5))
def test_torn_tail_is_cut_and_appending_goes_on(length):
    disk = MemoryDisk()
    write(disk, ["a", "b"])
    disk.write_unsynced(LOG, frame(2, b'"torn"')[:length])
    recovered = recover(disk)
    assert recovered.values == ["a", "b"]
    assert recovered.cut_bytes == length
    write(disk, ["c"])
    assert recover(disk).values == ["a", "b", "c"]


def test_pages_never_written_are_a_torn_tail():
    disk = MemoryDisk()
    write(disk, ["a"])
    disk.write_unsynced(LOG, frame(1, b'"' + b"x" * 100 + b'"')[:50] + bytes(76))
    assert recover(disk).values == ["a"]


def test_any_flipped_bit_is_refused():
    """
    No acknowledged write goes missing without a word. A bit of a synced record
    flips on the disk, also in a length or in the last record: cutting there as
    if a write had been torn would drop what was acknowledged.
    """
    whole = MemoryDisk()
    write(whole, ["aaaa", "bbbb", "cccc"])
    for offset in range(len(whole.read(LOG))):
        for bit in range(8):
            disk = whole.copy()
            disk.flip(LOG, offset, 1 << bit)
            with pytest.raises(DamagedFile):
                recover(disk)


def test_failed_write_fails_every_waiter_and_all_later_ones():
    disk = MemoryDisk(sync_s=0.01)

    async def main():
        journal = journal_of(disk, [])
        failures = []

        async def attempt(item):
            try:
                await journal.sync(journal.append(item))
            except DiskFailed:
                failures.append(item)

        disk.fail_next = True
        with pytest.raises(ExceptionGroup) as caught:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(journal.run)
                nursery.start_soon(attempt, "a")
                nursery.start_soon(attempt, "b")
        assert caught.group_contains(DiskFailed)
        with trio.CancelScope(shield=True):
            await attempt("c")
        return failures

    assert sorted(run(main)) == ["a", "b", "c"]
    disk.crash()
    assert recover(disk).values == []


def test_snapshot_cuts_the_log_short():
    disk = MemoryDisk()
    items = [f"value {number}" for number in range(200)]
    journal = write(disk, items, snapshot_bytes=1000)
    assert journal.snapshots > 1
    assert len(disk.names()) == 2
    disk.crash()
    recovered = recover(disk)
    assert recovered.values == items
    assert recovered.position == 200


def test_crash_at_every_step_of_a_rotation_loses_nothing():
    """
    Nothing synced is lost when the power goes while a log is being replaced: the
    new log, the snapshot's rename and the removal of the old files each last on
    their own, in that order.
    """
    items = [f"value {number}" for number in range(40)]
    for calls in range(1, 60):
        disk = MemoryDisk()
        synced = _write_until_call(disk, items, calls)
        disk.crash(Random(calls))
        values = recover(disk).values
        assert values[:synced] == items[:synced]
        assert values == items[: len(values)]


def _write_until_call(disk, items, calls):
    """Cut the power at the given call to the disk; return how many were synced."""
    synced = 0

    class PowerCut(Exception):
        pass

    original = disk.run

    async def counted(function, *args):
        nonlocal calls
        calls -= 1
        if calls == 0:
            raise PowerCut
        return await original(function, *args)

    disk.run = counted

    async def main():
        nonlocal synced
        values = []
        journal = journal_of(disk, values, snapshot_bytes=300)
        async with trio.open_nursery() as nursery:
            await nursery.start(journal.run)
            for item in items:
                values.append(item)
                await journal.sync(journal.append(item))
                synced += 1
            nursery.cancel_scope.cancel()

    try:
        run(main)
    except* (PowerCut, DiskFailed):
        pass
    return synced


@pytest.mark.parametrize("missing", ["log-", "snapshot-"])
def test_missing_file_is_refused(missing):
    disk = MemoryDisk()
    write(disk, [f"value {number}" for number in range(200)], snapshot_bytes=1000)
    for name in disk.names():
        if name.startswith(missing):
            disk.remove(name)
    with pytest.raises(DamagedFile):
        recover(disk)


def test_damaged_snapshot_is_refused():
    disk = MemoryDisk()
    write(disk, [f"value {number}" for number in range(200)], snapshot_bytes=1000)
    snapshot = disk.names()[-1]
    for offset in range(0, len(disk.read(snapshot)), 7):
        damaged = disk.copy()
        damaged.flip(snapshot, offset)
        with pytest.raises(DamagedFile):
            recover(damaged)
    disk.truncate(snapshot, len(disk.read(snapshot)) - 1)
    with pytest.raises(DamagedFile):
        recover(disk)
