"""Verdict on whether a request may have run on a backend server."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """
    Whether a request has run on a backend server, as far as this can be proved.

    The values are those of the ``Gooseberryyoke-Verdict`` header.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"

    def then(self, later):
        """
        Combine this verdict with that of a later attempt of the same request.

        Parameters
        ----------
        later : Verdict
            Verdict of the attempt made after this one.

        Returns
        -------
        Verdict
            ``NOT_RUN`` only if neither attempt can have run.

        Examples
        --------
        >>> Verdict.MAY_HAVE_RUN.then(Verdict.NOT_RUN)
        <Verdict.MAY_HAVE_RUN: 'may-have-run'>
        """
        if Verdict.RAN in (self, later):
            return Verdict.RAN
        if Verdict.MAY_HAVE_RUN in (self, later):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
