"""Number of events in a sliding window."""

from math import ceil, floor

__all__ = ["SlidingCount"]

_STEPS = 20
"""Number of steps that a window is divided into; a step is counted as a whole."""


class SlidingCount:
    """
    Count of events in a sliding window, in steps of a fraction of the window.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    """

    __slots__ = ("_step_s", "_counts")

    def __init__(self, window_s):
        self._step_s = window_s / _STEPS
        self._counts = {}

    def add(self, at_s):
        """
        Count an event.

        Parameters
        ----------
        at_s : float
            Time of the event in seconds; it may precede that of the last one.
        """
        step = floor(at_s / self._step_s)
        self._counts[step] = self._counts.get(step, 0) + 1
        if len(self._counts) > 2 * _STEPS:
            self._remove_before(max(self._counts) - _STEPS)

    def at_least(self, now):
        """
        Return a lower bound of the number of events in the window that ends now.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int
        """
        return self._total_from(ceil(now / self._step_s - _STEPS))

    def at_most(self, now):
        """
        Return an upper bound of the number of events in the window that ends now.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int
        """
        return self._total_from(floor(now / self._step_s - _STEPS))

    def _total_from(self, first):
        self._remove_before(first - 1)
        return sum(count for step, count in self._counts.items() if step >= first)

    def _remove_before(self, first):
        for step in [step for step in self._counts if step < first]:
            del self._counts[step]
