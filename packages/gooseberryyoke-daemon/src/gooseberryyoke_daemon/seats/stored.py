"""The seat and the seats' addresses, kept in the data folder."""

import orjson

from gooseberryyoke.seat import SeatMap
from gooseberryyoke_daemon.logs import log_event

__all__ = ["SeatFile"]

_NAME = "seats.json"


class SeatFile:
    """
    What a replica must find again when all have been stopped at once.

    Parameters
    ----------
    disk : FolderDisk or MemoryDisk
        A folder of its own.
    """

    __slots__ = ("_disk",)

    def __init__(self, disk):
        self._disk = disk

    def load(self):
        """
        Read the file.

        Returns
        -------
        seat : str or None
            None if the process held none, or the file can't be read.
        seats : SeatMap
        """
        seats = SeatMap()
        if _NAME not in self._disk.names():
            return None, seats
        try:
            stored = orjson.loads(self._disk.read(_NAME))
            seats.merge(stored["seats"])
            seat = stored["seat"]
            return None if seat is None else str(seat), seats
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as exc:
            # Without it the replica asks the others for the seat at its address.
            log_event("seat-file-unreadable", level="error", detail=str(exc))
            return None, SeatMap()

    def save(self, seat, seats):
        """
        Write the file whole and sync it.

        Parameters
        ----------
        seat : str or None
        seats : SeatMap
        """
        content = {"seat": seat, "seats": seats.to_json()}
        self._disk.write_whole(_NAME, [orjson.dumps(content)])
