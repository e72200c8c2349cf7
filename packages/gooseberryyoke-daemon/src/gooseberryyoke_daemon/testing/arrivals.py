"""What a server still gets after it has asked for a pause, or said that it leaves."""

from gooseberryyoke.record import Record

__all__ = ["ArrivalCheck", "Asked"]

_TRANSIT_S = 0.5
"""Requests that were on their way when the server answered may still arrive."""
_ARRIVALS_IN_A_PAUSE = 2


class Asked(Record):
    """
    What a server asked of one sender in an answer.

    Parameters
    ----------
    sender : str
    at_s : float
        Of the answer.
    pause_s : float or None
        For which it wants nothing; None for good, as it leaves.
    """

    __slots__ = ("sender", "at_s", "pause_s")

    def __init__(self, sender, at_s, pause_s):
        self.sender = sender
        self.at_s = at_s
        self.pause_s = pause_s

    def covers(self, sender, at_s, drain_s):
        """Tell whether an arrival goes against it."""
        if sender != self.sender:
            return False
        if self.pause_s is None:
            return at_s > self.at_s + drain_s
        return self.at_s + _TRANSIT_S < at_s < self.at_s + self.pause_s


class ArrivalCheck:
    """
    Counts, from the server's side, what came although it was asked not to.

    Parameters
    ----------
    drain_s : float
        For which requests may still come to a server that leaves.

    Attributes
    ----------
    asked : list of Asked
    arrivals : list of (str, float)
        Sender and time of each request.
    """

    def __init__(self, drain_s=2.0):
        self._drain_s = drain_s
        self.asked = []
        self.arrivals = []

    def arrived(self, now, sender=""):
        """Note a request at a time in seconds."""
        self.arrivals.append((sender, now))

    def asked_pause(self, now, pause_s, sender=""):
        """Note an answer that asks a sender for a pause."""
        self.asked.append(Asked(sender, now, pause_s))

    def left(self, now, sender=""):
        """Note an answer that tells a sender that the server leaves."""
        self.asked.append(Asked(sender, now, None))

    def faults(self):
        """
        List what was not heeded.

        Returns
        -------
        list of str
            Empty if all was.
        """
        found = []
        for asked in self.asked:
            late = [
                at_s
                for sender, at_s in self.arrivals
                if asked.covers(sender, at_s, self._drain_s)
            ]
            allowed = 0 if asked.pause_s is None else _ARRIVALS_IN_A_PAUSE
            if len(late) > allowed:
                found.append(f"{asked}: {len(late)} arrivals, {allowed} allowed")
        return found
