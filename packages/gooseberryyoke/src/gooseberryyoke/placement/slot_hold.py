"""Holding back of free slots for more urgent requests that wait at other gateways.

Each gateway has its own queue. Without this, a gateway that sees free slots and has
only less urgent requests would use them while another gateway refuses urgent requests.
"""

__all__ = ["SlotHold"]

_MAX_HOLD_S = 0.5
"""Maximum time in seconds for which a free slot is held back. Reports are sent every
0.1 s and take up to 0.3 s between data centres, so that a slot that stays free for
longer is not being used by the gateway whose report asks for it."""
_HOLD_GAP_S = 0.05
"""Time in seconds without a check after which the next hold counts as a new one: the
slots that were held back have been taken by then."""


class SlotHold:
    """Hold on free slots for more urgent requests elsewhere, for a bounded time."""

    __slots__ = ("_since_s", "_last_s", "_ignored")

    def __init__(self):
        self._since_s = self._last_s = None
        self._ignored = None

    def is_held(self, urgency, free, ahead_elsewhere, now):
        """
        Return whether a request has to leave a free slot to other gateways.

        Parameters
        ----------
        urgency : int
            Urgency of the request; lower values are more urgent.
        free : int
            Number of free slots.
        ahead_elsewhere : dict of int to int
            Number of requests that wait at other gateways, by urgency.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True for at most 0.5 s without interruption; after that, reports with the
            same counts are ignored.
        """
        ahead = {other: n for other, n in ahead_elsewhere.items() if other < urgency}
        if not ahead or free > sum(ahead.values()):
            return False
        if ahead == self._ignored:
            return False
        self._ignored = None
        if self._last_s is None or now - self._last_s > _HOLD_GAP_S:
            self._since_s = now
        self._last_s = now
        if now - self._since_s >= _MAX_HOLD_S:
            self._ignored = ahead
            return False
        return True
