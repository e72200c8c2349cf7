"""How soon a server begins its answers."""

__all__ = ["ServerPace"]

_GAIN = 0.25
_FADE_S = 4.0
"""After so long without an answer a server's pace is as good as unknown: it gets a
request, which tells."""


class ServerPace:
    """
    Smoothed time from sending a request to the first of its answer.

    Attributes
    ----------
    first_s : float or None
        In seconds; None if it isn't known.
    """

    __slots__ = ("first_s", "_at_s")

    def __init__(self):
        self.first_s = None
        self._at_s = 0.0

    def observe(self, first_s, now):
        """
        Take the time of one answer, or of one that hasn't come after so long.

        Parameters
        ----------
        first_s, now : float
            In seconds.
        """
        if self.first_s is None or now - self._at_s > _FADE_S:
            self.first_s = first_s
        else:
            self.first_s += _GAIN * (first_s - self.first_s)
        self._at_s = now

    def known(self, now):
        """
        Give the pace while it is fresh.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float or None
        """
        return self.first_s if now - self._at_s <= _FADE_S else None
