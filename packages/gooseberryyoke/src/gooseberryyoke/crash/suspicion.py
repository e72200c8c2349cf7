"""What is held against one part of a prompt."""

from math import inf

__all__ = ["Suspicion"]

_SAME_CAUSE_S = 0.5
"""Servers that end within so long of each other may have ended for one reason, as those
of a rack do."""
_FREE_BEFORE_S = 10.0
"""An end so long after the one before is that of a request on trial: none was sent
freely since, and two gateways that tried at once have ended a server each."""
_PROVEN_FOR_S = 60.0
_ENDS_OF_PROVEN = 2
"""Ends that a part proven lately may have run into by chance: popular parts run at each
server that ends."""
_ENDS_OF_CHANCE = 4
"""Servers that may have ended under such a part, however close to each other, before
one request is sent on trial: requests that come together end many servers together."""
_PAUSES_S = (0.0, 1.0, 30.0, 120.0, 600.0)
"""From the last end until a request is sent on trial, by the number of ends."""
_MOST_ENDS = 8


class Suspicion:
    """
    Ends of servers under a part, and the last answer that proves it sound.

    Parameters
    ----------
    proof_s : float
        When an answer to a request with the part last held; ``-inf`` for never.

    Attributes
    ----------
    ends_s : dict of str to float
        When servers ended under the part, by their lives.
    seen_s : float
        When the part was last asked for or told of.
    trials_s : dict of str to float
        Until when a request on trial may still be under way, by gateway.
    """

    __slots__ = ("ends_s", "proof_s", "seen_s", "trials_s")

    def __init__(self, proof_s=-inf):
        self.ends_s = {}
        self.proof_s = proof_s
        self.seen_s = -inf
        self.trials_s = {}

    def add_end(self, life, at_s):
        """
        Note that a server ended under the part.

        Parameters
        ----------
        life : str
        at_s : float

        Returns
        -------
        bool
            Whether that was new.
        """
        if life in self.ends_s or at_s <= self.proof_s:
            return False
        self.ends_s[life] = at_s
        if len(self.ends_s) > _MOST_ENDS:
            del self.ends_s[min(self.ends_s, key=self.ends_s.get)]
        return True

    def prove(self, at_s):
        """
        Note that an answer to a request with the part has held.

        Parameters
        ----------
        at_s : float

        Returns
        -------
        bool
            Whether ends that were held against the part don't count any more.
        """
        if at_s <= self.proof_s:
            return False
        self.proof_s = at_s
        before = len(self.ends_s)
        self.ends_s = {life: end for life, end in self.ends_s.items() if end > at_s}
        return len(self.ends_s) < before

    @property
    def last_end_s(self):
        """When a server last ended under the part."""
        return max(self.ends_s.values(), default=-inf)

    def count(self, now):
        """
        Count the ends to act on.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        counted, first_s, before_s, was_tried = 0, -inf, inf, False
        for at_s in sorted(self.ends_s.values()):
            is_apart = at_s - first_s >= _SAME_CAUSE_S
            if is_apart:
                first_s, was_tried = at_s, at_s - before_s >= _FREE_BEFORE_S
            counted += is_apart or was_tried
            before_s = at_s
        if now - self.proof_s >= _PROVEN_FOR_S:
            return counted
        if len(self.ends_s) > _ENDS_OF_CHANCE:
            return max(1, counted - _ENDS_OF_PROVEN + 1)
        return max(0, counted - _ENDS_OF_PROVEN)

    def may_try_from_s(self, now):
        """
        Tell from when on a request may be sent on trial.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            ``inf`` if none may.
        """
        count = self.count(now)
        pause_s = _PAUSES_S[count] if count < len(_PAUSES_S) else inf
        return self.last_end_s + pause_s

    def trial_until_s(self, now):
        """
        Tell until when a request on trial may be under way at any gateway.

        Parameters
        ----------
        now : float

        Returns
        -------
        float or None
            None if there is none.
        """
        latest_s = max(self.trials_s.values(), default=-inf)
        return latest_s if latest_s > now else None
