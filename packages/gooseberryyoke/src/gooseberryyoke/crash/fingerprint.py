"""Recognise a request when its caller sends it again under a new attempt id."""

from hashlib import blake2b

__all__ = ["is_fingerprint", "request_fingerprint"]

_PREFIX = "request:"
"""No prompt part has it: ids of parts are alphanumeric."""
_DIGEST_BYTES = 12
_LENGTH_BYTES = 8


def request_fingerprint(account, method, host, target, parts, body):
    """
    Hash what a request asks for.

    Headers that may differ between two attempts of a caller are left out: the
    attempt id, the deadline, the event after which a stream continues, and the
    estimated length of the answer.

    Parameters
    ----------
    account : str or None
        Name of the client account. Without it, one account could have the requests
        of another one refused.
    method, host, target : str
    parts : str or None
        Header that lists the parts of the prompt, including the last one.
    body : bytes

    Returns
    -------
    str
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (account, method, host, target, parts):
        _add(digest, b"" if text is None else text.encode())
    _add(digest, body)
    return _PREFIX + digest.hexdigest()


def is_fingerprint(subject):
    """
    Tell a fingerprint from the id of a prompt part.

    Parameters
    ----------
    subject : str

    Returns
    -------
    bool
    """
    return subject.startswith(_PREFIX)


def _add(digest, data):
    # Without the length, bytes could be moved from one field to the next unnoticed.
    digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
    digest.update(data)
