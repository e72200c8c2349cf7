"""Why a whole answer came later than its caller wanted it."""

from enum import Enum

__all__ = ["LateBy", "late_by"]


class LateBy(Enum):
    """What made an answer late; the first that holds counts."""

    EARLIER_TRY = "earlier-try"
    """Its caller had been sent back, for longer than the answer may take."""
    PLACE = "place"
    """No server had a place for it in time."""
    FIRST = "first"
    """The server that got it in time began its answer too late."""
    GAP = "gap"
    """A stream paused for longer than its caller bears."""


def late_by(exchange, sent_s, first_s):
    """
    Tell what made an answer late.

    Parameters
    ----------
    exchange : Exchange
    sent_s : float
        When it was sent to the server that answered, on trio's clock.
    first_s : float or None
        From then to the first of the answer.

    Returns
    -------
    LateBy or None
        None if it is on time.
    """
    target_s = exchange.route.target_s
    waited_s = sent_s - exchange.received_s
    if exchange.tried_for_s > target_s:
        return LateBy.EARLIER_TRY
    if exchange.tried_for_s + waited_s > target_s:
        return LateBy.PLACE
    if exchange.tried_for_s + waited_s + (first_s or 0.0) > target_s:
        return LateBy.FIRST
    target_gap_s = exchange.route.target_gap_s
    if target_gap_s is not None and exchange.longest_gap_s > target_gap_s:
        return LateBy.GAP
    return None
