"""Keeps the seat record of a control process on its disk."""

import trio

from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.seats.stored import SeatRecord

__all__ = ["RecordKeeper"]

_DISK_PAUSE_S = 1.0


class RecordKeeper:
    """
    Loads and saves a `SeatRecord`, one change after the other.

    Parameters
    ----------
    disk : FolderDisk or MemoryDisk
        Runs the operations of the file.
    seat_file : SeatFile
    seats : SeatMap
        Saved with each change.

    Attributes
    ----------
    record : SeatRecord
        As it was saved last.
    """

    __slots__ = ("record", "_disk", "_file", "_seats", "_lock")

    def __init__(self, disk, seat_file, seats):
        self.record = SeatRecord()
        self._disk = disk
        self._file = seat_file
        self._seats = seats
        self._lock = trio.Lock()

    async def load(self):
        """Load the record that an earlier life of the process has saved."""
        self.record = await self._disk.run(self._file.load)

    async def save(self, **changes):
        """
        Save the record with some changes.

        Parameters
        ----------
        **changes
            Fields of the record.

        Returns
        -------
        bool
            False after a failure; the record then stays as it was.
        """
        async with self._lock:
            record = self.record.replace(seats=self._seats.to_json(), **changes)
            if record == self.record:
                return True
            try:
                await self._disk.run(self._file.save, record)
            except OSError as exc:
                # The older file holds until the next change, or the next round.
                log_event("seat-file-unsaved", level="error", why=str(exc))
                await trio.sleep(_DISK_PAUSE_S)
                return False
            self.record = record
            return True

    async def save_surely(self, **changes):
        """Save the record with some changes, however often the disk fails."""
        while not await self.save(**changes):
            pass

    async def note_asking(self, incarnation):
        """
        Make sure that this process can withdraw what it asks others to confirm.

        Parameters
        ----------
        incarnation : Incarnation
        """
        await self._save_identities(self.record.asking(incarnation))

    async def withdraw(self, incarnation):
        """
        Tell all others that an identity has not joined, and never will.

        Those that confirmed it don't know how many others have. While nobody can tell,
        the former holder of the seat must not vote again.

        Parameters
        ----------
        incarnation : Incarnation
        """
        await self._save_identities(self.record.withdrawing(incarnation))

    async def leave_seat(self, unjoined, nonce):
        """
        Note that this process holds no seat any more.

        Parameters
        ----------
        unjoined : Incarnation or None
            Identity that has not joined, and is withdrawn.
        nonce : str
            Under which the process may become a founder.
        """
        left = self.record.leaving(unjoined)
        await self._save_identities(left, seat=None, nonce=nonce)

    async def _save_identities(self, record, **changes):
        if record.withdrawn != self.record.withdrawn:
            generation = record.withdrawn[-1].generation
            log_event("seat-withdrawn", level="warning", generation=generation)
        await self.save_surely(
            joining=record.joining, withdrawn=record.withdrawn, **changes
        )

    def told_withdrawn(self):
        """
        Give the withdrawn identities as they are told.

        Returns
        -------
        list of list
        """
        return [identity.as_list() for identity in self.record.withdrawn]
