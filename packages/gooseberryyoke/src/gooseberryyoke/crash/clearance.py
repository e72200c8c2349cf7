"""Decisions whether a request may be sent now."""

from enum import Enum
from math import inf

from gooseberryyoke.record import Record

__all__ = ["FREE", "Clearance", "ClearanceKind", "strictest"]


class ClearanceKind(Enum):
    """Outcomes of the check whether a request may be sent."""

    FREE = "free"
    TRIAL = "trial"
    """The request may be sent as the only one with the suspected part."""
    WAIT = "wait"
    """The request waits, because the decision is expected soon."""
    REFUSED = "refused"


_BY_RESTRICTION = tuple(ClearanceKind)


class Clearance(Record):
    """
    Decision whether a request may be sent now.

    Parameters
    ----------
    kind : ClearanceKind
    until_s : float
        When to check again; for a refusal, the earliest time of the next trial.
    subject : str or None
        Prompt part or fingerprint that determined the decision.
    """

    __slots__ = ("kind", "until_s", "subject")

    def __init__(self, kind, until_s=-inf, subject=None):
        self.kind = kind
        self.until_s = until_s
        self.subject = subject


FREE = Clearance(ClearanceKind.FREE)


def strictest(clearances):
    """
    Return the most restrictive of several decisions, the first one of equal ones.

    Parameters
    ----------
    clearances : iterable of Clearance

    Returns
    -------
    Clearance
        `FREE` if there are none.
    """
    return max(clearances, key=_restriction, default=FREE)


def _restriction(clearance):
    return _BY_RESTRICTION.index(clearance.kind)
