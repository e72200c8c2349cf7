"""Seats, the identities that hold them, and where those are reached."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.identity import Incarnation

__all__ = ["Holder", "SeatMap"]

_NOWHERE = ""


class Holder(Record):
    """
    Who holds a seat.

    Parameters
    ----------
    incarnation : Incarnation
        Identity of the data folder; generation 0 for a seat that nobody has held yet.
    address : str
        ``host:port`` of the process, for internal calls; empty for a seat that
        nobody has held yet.
    """

    __slots__ = ("incarnation", "address")

    def __init__(self, incarnation, address):
        self.incarnation = incarnation
        self.address = address

    @property
    def is_vacant(self):
        """Whether nobody has held the seat yet."""
        return self.address == _NOWHERE


_VACANT = Holder(Incarnation(0, ""), _NOWHERE)


class SeatMap:
    """
    The holders of all seats, as one process knows them.

    Processes pass their maps on to each other and merge them: of two holders of a
    seat the one with the higher identity is the later one. An identity is passed
    on only once its replica has joined, so a newcomer that never gets so far
    doesn't hide the holder that still votes.

    Attributes
    ----------
    holders : dict of str to Holder
        By seat; empty before the deployment is founded.
    """

    __slots__ = ("holders",)

    def __init__(self):
        self.holders = {}

    @classmethod
    def vacant(cls, size):
        """
        Name the seats of a deployment, with no holders.

        Parameters
        ----------
        size : int

        Returns
        -------
        SeatMap
        """
        seats = cls()
        for number in range(1, size + 1):
            seats.holders[str(number)] = _VACANT
        return seats

    def addresses(self):
        """
        List where the seats are held.

        Returns
        -------
        set of str
        """
        return {h.address for h in self.holders.values() if not h.is_vacant}

    def seat_at(self, address):
        """
        Find the seat that an address holds.

        Parameters
        ----------
        address : str

        Returns
        -------
        str or None
        """
        for seat, holder in self.holders.items():
            if holder.address == address:
                return seat
        return None

    def take(self, seat, holder):
        """
        Take over a holder unless a later one is known.

        Parameters
        ----------
        seat : str
        holder : Holder

        Returns
        -------
        bool
            Whether the map has changed.
        """
        known = self.holders.get(seat)
        if known is not None and known.incarnation >= holder.incarnation:
            return False
        self.holders[seat] = holder
        return True

    def merge(self, packed):
        """
        Take over what another process knows.

        Parameters
        ----------
        packed : dict
            As made by `to_json`.

        Returns
        -------
        bool
            Whether the map has changed.

        Raises
        ------
        ValueError, TypeError, AttributeError
            If it has another form; nothing is taken over then.
        """
        holders = {}
        for seat, (generation, nonce, address) in packed.items():
            incarnation = Incarnation(int(generation), str(nonce))
            holders[str(seat)] = Holder(incarnation, str(address))
        changes = [self.take(seat, holder) for seat, holder in holders.items()]
        return any(changes)

    def to_json(self):
        """
        Turn into a JSON-able value.

        Returns
        -------
        dict of str to list
            Generation, nonce and address by seat.
        """
        return {
            seat: [
                holder.incarnation.generation,
                holder.incarnation.nonce,
                holder.address,
            ]
            for seat, holder in self.holders.items()
        }
