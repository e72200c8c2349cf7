"""What an entry knows of one server's load."""

__all__ = ["ServerLoad"]

_REPORT_HALF_LIFE_S = 0.5
"""A report counts half after so long: streams end within a few seconds."""


class ServerLoad:
    """
    Own requests in flight, and what the server last said of all requests.

    Attributes
    ----------
    own : int
        Requests of this entry that the server has now.
    others : float
        Requests of other entries at the last report.
    told_s : float
        When it was told, in seconds.
    """

    __slots__ = ("own", "others", "told_s")

    def __init__(self):
        self.own = 0
        self.others = 0.0
        self.told_s = float("-inf")

    def tell(self, running, waiting, now):
        """
        Take a server's report.

        Parameters
        ----------
        running, waiting : int
            Of all callers.
        now : float
            In seconds.
        """
        self.others = max(0.0, running + waiting - self.own)
        self.told_s = now

    def expected(self, now):
        """
        Estimate the requests that the server has.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
        """
        age_s = max(0.0, now - self.told_s)
        return self.own + self.others * 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
