"""Which address holds which seat among the replicas."""

from gooseberryyoke.seat.seat_map import Holder, SeatMap

__all__ = ["Holder", "SeatMap"]
