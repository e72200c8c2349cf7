"""How many requests a service has for each own one."""

__all__ = ["Crowd"]

MEAN_WEIGHT = 0.02
OWN_AT_LEAST = 0.05


class Crowd:
    """
    How many requests a service's servers have for each one of this entry.

    Learnt while reports come, used when they stop.
    """

    __slots__ = ("_reported", "_own")

    def __init__(self):
        self._reported = 0.0
        self._own = 0.0

    def learn(self, reported, own):
        """
        Take in one report.

        Parameters
        ----------
        reported : int
            Requests at the server by its report.
        own : int
            Own requests in flight there.
        """
        self._reported += MEAN_WEIGHT * (reported - self._reported)
        self._own += MEAN_WEIGHT * (own - self._own)

    def factor(self):
        """
        Tell how many requests a server has for each own one.

        Returns
        -------
        float
            1 at least, and 1 as long as next to no own request was seen.
        """
        if self._own < OWN_AT_LEAST:
            return 1.0
        return max(1.0, self._reported / self._own)
