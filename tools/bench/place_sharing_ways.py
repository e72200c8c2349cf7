"""Ways in which gateways share slots, to be compared by replay."""

from gooseberryyoke.placement.slot_sharing import (
    ANNOUNCED_TIMING,
    REPORTED_TIMING,
    Timing,
)
from gooseberryyoke.record import Record

__all__ = ["WAYS", "Way"]


class Way(Record):
    """
    A method; without switches the code as it was.

    Parameters
    ----------
    switches : tuple of bool, optional
        Claims, shares, order and passes of `SlotSharing`.
    announces : bool
        Starts are announced at once where slots are scarce.
    repeats : bool
        Changed counts are told in three reports, not in one.
    has_margin : bool
        Slots that gateways not heard of lately may have taken count as taken.
    by_urgency : bool
        Turns come first at gateways where more urgent requests wait.
    has_reports : bool
        Engines tell their load with the first event of an answer.
    timing : Timing, optional
        Of claims and turns.
    """

    __slots__ = (
        "switches",
        "announces",
        "repeats",
        "by_urgency",
        "has_margin",
        "has_reports",
        "timing",
    )

    def __init__(
        self,
        switches=None,
        announces=False,
        repeats=False,
        by_urgency=False,
        has_margin=False,
        has_reports=False,
        timing=None,
    ):
        self.switches = switches
        self.announces = announces
        self.repeats = repeats
        self.by_urgency = by_urgency
        self.has_margin = has_margin
        self.has_reports = has_reports
        self.timing = timing or REPORTED_TIMING


_ALL = (True, True, True, False)
_PASSED = (True, True, True, True)
_LONG = Timing(claim_s=0.3, min_free_s=0.5, turn_s=0.4)
WAYS = {
    "as it was": Way(),
    "claims": Way((True, False, False, False)),
    "shares": Way((False, True, False, False)),
    "order": Way((False, False, True, False)),
    "claims, order": Way((True, False, True, False)),
    "shares, order": Way((False, True, True, False)),
    "claims, shares": Way((True, True, False, False)),
    "by reports only": Way(_ALL),
    "by reports only, turns from 0.5 s on": Way(_ALL, timing=_LONG),
    "repeated": Way(_ALL, repeats=True),
    "margin": Way(_ALL, has_margin=True),
    "engines' reports": Way(_ALL, has_reports=True),
    "announced": Way(_ALL, announces=True, timing=ANNOUNCED_TIMING),
    "claims passed on": Way(_PASSED),
    "claims passed on, announced, repeated": Way(
        _PASSED, True, True, True, timing=ANNOUNCED_TIMING
    ),
    "claims, shares, order": Way(_ALL, True, True, True, timing=ANNOUNCED_TIMING),
}
"""The last is what gateways do. The rows from `by reports only` on add to the first
round what they are named after."""
