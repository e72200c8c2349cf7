"""What a control process keeps of seats in its data folder."""

import orjson

from gooseberryyoke.record import Record
from gooseberryyoke.register.identity import Incarnation
from gooseberryyoke.seat import SeatMap
from gooseberryyoke_daemon.logs import log_event

__all__ = ["SeatFile", "SeatRecord"]

_NAME = "seats.json"


class SeatRecord(Record):
    """
    What a control process must find again when all have been stopped at once.

    Parameters
    ----------
    seat : str or None
        That it holds.
    seats : dict
        As of `SeatMap.to_json`; the addresses in it lead to the others.
    nonce : str or None
        See `Candidate`; None for a folder that was never written.
    electors : tuple of str
        The contacts among whom this process votes on the founders; empty if it doesn't.
    joining : Incarnation or None
        The identity that has asked to be confirmed, until its replica votes.
    withdrawn : tuple of Incarnation
        Identities that asked to be confirmed, have not joined, and never will.
    """

    __slots__ = ("seat", "seats", "nonce", "electors", "joining", "withdrawn")

    def __init__(
        self,
        seat=None,
        seats=None,
        nonce=None,
        electors=(),
        joining=None,
        withdrawn=(),
    ):
        self.seat = seat
        self.seats = {} if seats is None else seats
        self.nonce = nonce
        self.electors = tuple(electors)
        self.joining = joining
        self.withdrawn = tuple(withdrawn)

    def asking(self, incarnation):
        """
        Note that an identity is about to ask to be confirmed.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        SeatRecord
        """
        record = self
        if self.seat is None and self.joining != incarnation:
            # The folder has taken another identity since, without having joined.
            record = self.withdrawing(self.joining)
        return record.replace(joining=incarnation)

    def withdrawing(self, incarnation):
        """
        Note that an identity has not joined, and never will.

        Parameters
        ----------
        incarnation : Incarnation or None

        Returns
        -------
        SeatRecord
            Unchanged if the identity never asked to be confirmed.
        """
        if incarnation is None or incarnation != self.joining:
            return self
        return self.replace(joining=None, withdrawn=(*self.withdrawn, incarnation))

    def leaving(self, unjoined):
        """
        Note that the seat is given up.

        Parameters
        ----------
        unjoined : Incarnation or None
            The identity of a replica that has never voted. One that has must not be
            withdrawn.

        Returns
        -------
        SeatRecord
        """
        record = self.withdrawing(unjoined)
        return record.replace(seat=None, joining=None)


class SeatFile:
    """
    The file of a `SeatRecord`.

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
        SeatRecord
            An empty one if there is none, or it can't be read.
        """
        if _NAME not in self._disk.names():
            return SeatRecord()
        try:
            return _decode(orjson.loads(self._disk.read(_NAME)))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as exc:
            # Without it the replica asks the others for the seat at its address.
            log_event("seat-file-unreadable", level="error", detail=str(exc))
            return SeatRecord()

    def save(self, record):
        """
        Write the file whole and sync it.

        Parameters
        ----------
        record : SeatRecord
        """
        content = {
            "seat": record.seat,
            "seats": record.seats,
            "nonce": record.nonce,
            "electors": list(record.electors),
            "joining": None if record.joining is None else record.joining.as_list(),
            "withdrawn": [identity.as_list() for identity in record.withdrawn],
        }
        self._disk.write_whole(_NAME, [orjson.dumps(content)])


def _decode(stored):
    seats = SeatMap()
    seats.merge(stored["seats"])
    seat, nonce = stored["seat"], stored.get("nonce")
    electors = [str(address) for address in stored.get("electors", ())]
    joining = stored.get("joining")
    return SeatRecord(
        None if seat is None else str(seat),
        seats.to_json(),
        None if nonce is None else str(nonce),
        electors,
        None if joining is None else Incarnation(*joining),
        [Incarnation(*packed) for packed in stored.get("withdrawn", ())],
    )
