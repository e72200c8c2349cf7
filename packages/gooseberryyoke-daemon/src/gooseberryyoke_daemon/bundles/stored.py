"""What the registers of the bundles hold."""

from gooseberryyoke.bundle import Envelope
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.operators import HistoryLine

__all__ = ["HEAD_KEY", "Content", "Head", "content_key"]

HEAD_KEY = "bundle/newest"


def content_key(version, digest):
    """Name the register with the text of a bundle."""
    return f"bundle/content/{version}/{digest}"


class Head(Record):
    """
    The newest accepted bundle, in short: every entry reads it again and again.

    Parameters
    ----------
    version : int
    digest : str
    signers : tuple of str
    leases_s : tuple of float
        The leases that the last bundles state, this one's last.
    """

    __slots__ = ("version", "digest", "signers", "leases_s")

    def __init__(self, version, digest, signers, leases_s):
        self.version = version
        self.digest = digest
        self.signers = tuple(signers)
        self.leases_s = tuple(leases_s)

    @property
    def lease_s(self):
        """After so long from its acceptance no entry serves by an older bundle."""
        # An entry cut off since some bundles ago may still hold a lease longer than
        # those of the bundles that it has missed.
        return max(self.leases_s)

    def to_json(self):
        """Give the fields as a JSON object."""
        return self.as_dict()

    @classmethod
    def from_json(cls, value):
        """Read a register's value; None stays None."""
        return None if value is None else cls(**value)


class Content(Record):
    """
    A bundle with the line of accepted versions up to it.

    Parameters
    ----------
    envelope : Envelope
    lines : list of HistoryLine
        The newest first; the first one is the bundle's own.
    """

    __slots__ = ("envelope", "lines")

    def __init__(self, envelope, lines):
        self.envelope = envelope
        self.lines = lines

    def to_json(self):
        """Give the fields as a JSON object."""
        lines = [line.as_dict() for line in self.lines]
        return {"envelope": self.envelope.to_payload(), "lines": lines}

    @classmethod
    def from_json(cls, value):
        """Read a register's value; None stays None."""
        if value is None:
            return None
        envelope = Envelope.from_payload(value["envelope"]).unwrap()
        return cls(envelope, [HistoryLine(**line) for line in value["lines"]])
