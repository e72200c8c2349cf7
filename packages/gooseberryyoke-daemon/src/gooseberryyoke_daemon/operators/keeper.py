"""What the operators' port needs of whoever keeps the bundles, and its answers."""

from gooseberryyoke.record import Record

__all__ = [
    "Accepted",
    "Conflict",
    "HistoryLine",
    "Keeper",
    "NoMajority",
    "OlderVersion",
]


class Accepted(Record):
    """
    A bundle is accepted and will never be taken back.

    Parameters
    ----------
    version : int
    digest : str
    again : bool
        Whether it had been accepted before; an operator whose first answer was lost
        sends it again.
    lease_s : float
        After so long from now no holder serves by an older bundle.
    """

    __slots__ = ("version", "digest", "again", "lease_s")

    def __init__(self, version, digest, again, lease_s):
        self.version = version
        self.digest = digest
        self.again = again
        self.lease_s = lease_s


class Conflict(Record):
    """
    Another bundle has been accepted under the same version.

    Parameters
    ----------
    version : int
    digest : str
        Of the bundle that was accepted.
    signers : tuple of str
        Who signed it off.
    """

    __slots__ = ("version", "digest", "signers")

    def __init__(self, version, digest, signers=()):
        self.version = version
        self.digest = digest
        self.signers = signers


class OlderVersion(Record):
    """
    A newer bundle has been accepted.

    Parameters
    ----------
    newest : int
        Its version.
    digest : str
        Its digest.
    signers : tuple of str
        Who signed it off.
    """

    __slots__ = ("newest", "digest", "signers")

    def __init__(self, newest, digest, signers=()):
        self.newest = newest
        self.digest = digest
        self.signers = signers


class NoMajority(Record):
    """
    Too few replicas answered; whether the bundle gets accepted is open.

    Parameters
    ----------
    reached, needed : int
        Replicas.
    """

    __slots__ = ("reached", "needed")

    def __init__(self, reached, needed):
        self.reached = reached
        self.needed = needed


class HistoryLine(Record):
    """
    One accepted version.

    Parameters
    ----------
    version : int
    digest : str
    signers : tuple of str
    accepted_at : str
        ISO 8601 in UTC, by the clock of the entry that proposed it.
    """

    __slots__ = ("version", "digest", "signers", "accepted_at")

    def __init__(self, version, digest, signers, accepted_at):
        self.version = version
        self.digest = digest
        self.signers = signers
        self.accepted_at = accepted_at


class Keeper:
    """Interface of whoever keeps the bundles, over the durable state."""

    async def accept(self, envelope, bundle):
        """
        Have a checked and signed bundle accepted by a majority.

        Parameters
        ----------
        envelope : Envelope
        bundle : Bundle
            What its text says.

        Returns
        -------
        returns.result.Result
            ``Success`` of `Accepted`; ``Failure`` of `Conflict`, `OlderVersion` or
            `NoMajority`.
        """
        raise NotImplementedError

    async def read(self, version=None):
        """
        Read an accepted bundle from a majority.

        Parameters
        ----------
        version : int, optional
            The newest if left out.

        Returns
        -------
        returns.result.Result
            ``Success`` of an `Envelope` or None; ``Failure`` of `NoMajority`.
        """
        raise NotImplementedError

    async def history(self):
        """
        List the accepted versions, the newest first.

        Returns
        -------
        returns.result.Result
            ``Success`` of a list of `HistoryLine`; ``Failure`` of `NoMajority`.
        """
        raise NotImplementedError
