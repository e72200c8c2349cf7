"""Assignment of replica seats to the addresses of processes."""

from gooseberryyoke.seat.founding import (
    Candidate,
    choose_founders,
    founder_incarnation,
    may_propose,
    may_vote_again,
)
from gooseberryyoke.seat.seat_map import Holder, SeatMap

__all__ = [
    "Candidate",
    "Holder",
    "SeatMap",
    "choose_founders",
    "founder_incarnation",
    "may_propose",
    "may_vote_again",
]
