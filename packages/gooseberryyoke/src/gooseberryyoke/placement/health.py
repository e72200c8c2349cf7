"""Failures of one server, as an entry meets them in its own requests."""

__all__ = ["ServerHealth"]

_FIRST_SHUN_S = 0.5
_MOST_DOUBLINGS = 10
_LONGEST_SHUN_S = 30.0
"""For a server that crashed without a word, and whose connection costs a request
0.15 s. One that starts again has a new life, and a clean record."""
_FULL_SHUN_S = 0.05
_FIRST_REFUSED_S = 0.1
_LONGEST_REFUSED_S = 1.6
"""For a server that has room and turns everything away: it looks idle, and would draw
more than any other."""


class ServerHealth:
    """
    Whether a server is left out for a while.

    Requests themselves show that a server is sick; probing it would cost it work.

    Attributes
    ----------
    shunned_until_s : float
        It gets no request before, unless there is no other server.
    failures : int
        In a row, those during one exclusion counted once.
    refusals : int
        As `failures`.
    """

    __slots__ = ("shunned_until_s", "failures", "refusals")

    def __init__(self):
        self.shunned_until_s = float("-inf")
        self.failures = 0
        self.refusals = 0

    def succeeded(self):
        """Note a whole answer."""
        self.failures = 0
        self.refusals = 0
        self.shunned_until_s = float("-inf")

    def failed(self, now):
        """
        Note a request without an answer.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self.is_shunned(now):
            # Requests that were there together fail together: one event, not many.
            return
        self.shun(now, _doubled(_FIRST_SHUN_S, self.failures, _LONGEST_SHUN_S))
        self.failures += 1

    def was_full(self, now):
        """
        Note a refusal for want of room.

        Parameters
        ----------
        now : float
            In seconds.
        """
        self.shun(now, _FULL_SHUN_S)

    def refused(self, now):
        """
        Note a refusal by a server that has room.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self.is_shunned(now):
            return
        self.shun(now, _doubled(_FIRST_REFUSED_S, self.refusals, _LONGEST_REFUSED_S))
        self.refusals += 1

    def shun(self, now, seconds):
        """
        Leave it out for some time at least.

        Parameters
        ----------
        now, seconds : float
            In seconds.
        """
        self.shunned_until_s = max(self.shunned_until_s, now + seconds)

    def is_shunned(self, now):
        """Tell whether it is left out at a time in seconds."""
        return now < self.shunned_until_s


def _doubled(first_s, times, longest_s):
    return min(longest_s, first_s * 2 ** min(times, _MOST_DOUBLINGS))
