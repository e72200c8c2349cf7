"""How long a caller has been trying, from the patience that it has left."""

__all__ = ["PatienceLeft"]

_REMEMBERED = 4096
_SPREAD = 0.2
"""Part of the longest patience by which first tries differ."""


class PatienceLeft:
    """
    Compares a request's patience with the longest seen on its route.

    A caller says how long it still waits. Requests of a route begin with much the
    same patience, so that what is missing beyond the usual spread has passed in
    earlier tries.
    """

    __slots__ = ("_longest_s",)

    def __init__(self):
        self._longest_s = {}

    def tried_for(self, route, patience_s):
        """
        Tell how long the caller has been trying at least.

        Parameters
        ----------
        route : str
        patience_s : float
            That is left, in seconds; infinite if not told.

        Returns
        -------
        float
            In seconds.
        """
        if patience_s == float("inf"):
            return 0.0
        if len(self._longest_s) > _REMEMBERED:
            # Routes come and go with each table.
            self._longest_s.clear()
        longest_s = max(patience_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        return max(0.0, longest_s * (1 - _SPREAD) - patience_s)
