"""Seats of the replicas, with the identity and the address of each holder."""

from gooseberryyoke.record import Record
from gooseberryyoke.register.identity import Incarnation

__all__ = ["Holder", "SeatMap"]

_NO_ADDRESS = ""


class Holder(Record):
    """
    Holder of a seat.

    Parameters
    ----------
    incarnation : Incarnation
        Identity of the data folder; generation 0 for a seat never held so far.
    address : str
        ``host:port`` of the process, for internal calls; empty for a seat never held
        so far.
    """

    __slots__ = ("incarnation", "address")

    def __init__(self, incarnation, address):
        self.incarnation = incarnation
        self.address = address

    @property
    def is_vacant(self):
        """Whether the seat has never been held."""
        return self.address == _NO_ADDRESS


_VACANT = Holder(Incarnation(0, ""), _NO_ADDRESS)


class SeatMap:
    """
    Holders of all seats, as known to one process.

    Processes exchange their maps and merge them: of two holders of a seat the one with
    the higher identity is the later one. An identity is sent to other processes only
    once its replica has joined, so a new replica that never finishes joining doesn't
    replace the holder that still votes.

    Attributes
    ----------
    holders : dict of str to Holder
        Holders by seat; empty before the deployment is founded.
    """

    __slots__ = ("holders",)

    def __init__(self):
        self.holders = {}

    @classmethod
    def vacant(cls, size):
        """
        Create the map of a deployment whose seats are all vacant.

        Parameters
        ----------
        size : int
            Number of seats.

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
        Return the addresses of all holders.

        Returns
        -------
        set of str
        """
        return {h.address for h in self.holders.values() if not h.is_vacant}

    def seat_at(self, address):
        """
        Find the seat held by the process at an address.

        Parameters
        ----------
        address : str
            ``host:port`` for internal calls.

        Returns
        -------
        str or None
            None if the process holds no seat.
        """
        for seat, holder in self.holders.items():
            if holder.address == address:
                return seat
        return None

    def set_if_later(self, seat, holder):
        """
        Set the holder of a seat unless the same or a later one is known.

        Parameters
        ----------
        seat : str
            The seat.
        holder : Holder
            Its new holder.

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
        Merge the map of another process into this one.

        Parameters
        ----------
        packed : dict
            Map in the form returned by `to_json`.

        Returns
        -------
        bool
            Whether the map has changed.

        Raises
        ------
        ValueError, TypeError, AttributeError
            If ``packed`` has another form; this map is unchanged then.
        """
        holders = {}
        for seat, (generation, nonce, address) in packed.items():
            incarnation = Incarnation(int(generation), str(nonce))
            holders[str(seat)] = Holder(incarnation, str(address))
        changes = [self.set_if_later(seat, holder) for seat, holder in holders.items()]
        return any(changes)

    def to_json(self):
        """
        Convert the map to a JSON-serialisable value.

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
