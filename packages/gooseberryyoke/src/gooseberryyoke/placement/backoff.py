"""The pause that a server asks an entry for when it turns a request away."""

from math import inf, isfinite

__all__ = ["LONGEST_BACKOFF_S", "ServerBackoff", "read_backoff"]

LONGEST_BACKOFF_S = 600.0
"""A word that holds for longer than most servers live would leave one out for good."""


def read_backoff(text):
    """
    Read for how long a server wants nothing.

    Parameters
    ----------
    text : str
        Value of Retry-After in seconds, or several with commas between, of which the
        longest counts.

    Returns
    -------
    float or None
        In seconds, bounded; None if nothing in it is a number from 0. Dates are
        none: clocks differ by more than such pauses last.
    """
    pauses = []
    for part in text.split(","):
        try:
            seconds = float(part)
        except ValueError:
            continue
        if isfinite(seconds) and seconds >= 0:
            pauses.append(min(seconds, LONGEST_BACKOFF_S))
    return max(pauses, default=None)


class ServerBackoff:
    """
    Until when a server is left alone, and the one request that tries it afterwards.

    Attributes
    ----------
    until_s : float
        End of the pause.
    """

    __slots__ = (
        "until_s",
        "_elsewhere_until_s",
        "_elsewhere_s",
        "_is_untried",
        "_trial_s",
    )

    def __init__(self):
        self.until_s = -inf
        self._elsewhere_until_s = -inf
        self._elsewhere_s = -inf
        self._is_untried = False
        self._trial_s = None

    def asked(self, pause_s, now):
        """
        Take the server's word.

        Parameters
        ----------
        pause_s : float
            In seconds; a pause that ends before an earlier one changes nothing.
        now : float
            In seconds.
        """
        if pause_s <= 0:
            return
        self.until_s = max(self.until_s, now + pause_s)
        self._is_untried = True
        self._trial_s = None

    def asked_elsewhere(self, pause_s, now):
        """
        Take a pause that the server has asked another entry for.

        Parameters
        ----------
        pause_s, now : float
            In seconds.
        """
        self._elsewhere_until_s = max(self._elsewhere_until_s, now + pause_s)
        self._elsewhere_s = now

    def is_on_elsewhere(self, now):
        """
        Tell whether another entry keeps a pause, and no answer here speaks against it.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        bool
        """
        return now < self._elsewhere_until_s

    def answered(self, sent_s):
        """
        Note an answer that asks for no pause.

        Parameters
        ----------
        sent_s : float
            When its request was sent; one from before the pause says nothing.

        Returns
        -------
        bool
            Whether it shows that a pause is over.
        """
        if sent_s >= self._elsewhere_s:
            self._elsewhere_until_s = -inf
        if not self._is_untried or sent_s < self.until_s:
            return False
        self._is_untried = False
        self._trial_s = None
        return True

    def sent(self, now):
        """Note at a time in seconds that a request goes to the server."""
        if self._is_untried:
            self._trial_s = now

    def ended(self, sent_s):
        """Note the end of a request, by the time in seconds at which it was sent."""
        if self._trial_s == sent_s:
            self._trial_s = None

    def is_on(self, now):
        """Tell whether the server wants nothing at a time in seconds."""
        return now < self.until_s

    @property
    def is_untried(self):
        """Whether no request has shown yet that a pause is over."""
        return self._is_untried

    def room(self, now):
        """
        Count the requests that may be sent at once.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            0 in a pause; 1 after it until a request was answered, so that not all
            that wait meet a server that still needs rest; else infinite.
        """
        # First, as each choice asks this of each server.
        if not self._is_untried:
            return inf
        return 0 if self.is_on(now) or self._trial_s is not None else 1
