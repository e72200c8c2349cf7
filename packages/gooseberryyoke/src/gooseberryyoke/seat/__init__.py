"""Which address holds which seat among the replicas."""

from gooseberryyoke.seat.founding import (
    Candidate,
    choose_founders,
    founder_incarnation,
    may_elect_anew,
    may_propose,
)
from gooseberryyoke.seat.seat_map import Holder, SeatMap

__all__ = [
    "Candidate",
    "Holder",
    "SeatMap",
    "choose_founders",
    "founder_incarnation",
    "may_elect_anew",
    "may_propose",
]
