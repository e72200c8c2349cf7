"""Client accounts."""

from hashlib import sha256

from gooseberryyoke.record import Record

__all__ = ["Account", "key_hash"]


def key_hash(key):
    """
    Hash a bearer key into the form that bundles store.

    Keys are random and long (see ``gooseberryyoke keys``), so an unsalted SHA-256 is
    safe from brute-force search. A slow password hash would make each request far
    more expensive.

    Parameters
    ----------
    key : str
        Bearer key in plain text.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    # The surrogates U+DC80 to U+DCFF stand for bytes that aren't valid UTF-8; without
    # the error handler, a text that contains one would raise UnicodeEncodeError.
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class Account(Record):
    """
    A client account with its keys, fair share and patience.

    Parameters
    ----------
    key_hashes : tuple of str
        SHA-256 of each bearer key of the account, in hexadecimal.
    share : float
        Weight among the accounts with requests queued for the same service.
    rate_per_s, burst : float, optional
        Expected upper bounds of the request rate, in requests per second, and of the
        number of simultaneous requests. Both are planning hints and aren't enforced.
    time_zone : str, optional
        IANA name; None means the time zone of the bundle.
    patience : dict of str to Patience
        Overrides by name of the request class; they take precedence over the patience
        of the class itself.
    name : str
        Key of the account in the bundle.
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
