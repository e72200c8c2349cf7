"""Client accounts."""

from hashlib import sha256

from gooseberryyoke.record import Record

__all__ = ["Account", "key_hash"]


def key_hash(key):
    """
    Hash a bearer key as bundles keep it.

    Keys are random and long (see ``gooseberryyoke keys``), so a plain SHA-256 can't
    be searched; a slow password hash would cost each request far more.

    Parameters
    ----------
    key : str

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class Account(Record):
    """
    One client account.

    Parameters
    ----------
    key_hashes : tuple of str
        SHA-256 of each bearer key that names the account, in hexadecimal.
    share : float
        Weight among the accounts that wait for the same service.
    rate_per_s, burst : float, optional
        Requests a second that the account is expected to stay under, and how many
        may come at once.
    time_zone : str, optional
        IANA name, where it isn't the bundle's.
    patience : dict of str to Patience
        By name of the class, before the patience of the class itself.
    name : str
    """

    __slots__ = (
        "name",
        "key_hashes",
        "share",
        "rate_per_s",
        "burst",
        "time_zone",
        "patience",
    )

    def __init__(
        self,
        key_hashes,
        share=1.0,
        rate_per_s=None,
        burst=None,
        time_zone=None,
        patience=None,
        name="",
    ):
        self.name = name
        self.key_hashes = key_hashes
        self.share = share
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.time_zone = time_zone
        self.patience = {} if patience is None else patience
