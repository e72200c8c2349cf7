"""The durable record of one request that may run at most once."""

from base64 import b64decode, b64encode
from enum import Enum
from hashlib import sha256

import orjson

from gooseberryyoke.claim.exceptions import MalformedClaimError
from gooseberryyoke.record import Record

__all__ = [
    "Claim",
    "ClaimState",
    "StoredAnswer",
    "claim_key",
    "claim_prefix",
    "decode_answer",
    "decode_claim",
    "encode_answer",
    "encode_claim",
    "make_stored_answer",
]

_KEY_PREFIX = "claim/"
_UNTIL_CLOSE_HEADER = ["connection", "close"]
"""Header pair that encodes ``until_close`` in a stored answer.

It can't be confused with a header of the answer, as connection options are removed
before an answer is stored. A sixth field isn't possible, because entries of earlier
releases expect exactly five; those releases forward this header to the caller."""


class ClaimState(Enum):
    """State of a claim: open until the outcome of its attempt is known."""

    OPEN = "open"
    SETTLED = "settled"


class StoredAnswer(Record):
    """
    An HTTP answer, stored to be replayed to repeats of the same request.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        Pairs of name, in lower case, and value.
    body : bytes or None
        None if the body exceeded the size limit for stored answers.
    digest : str
        SHA-256 digest of the body, in hexadecimal.
    location : str
        Where to fetch a body that isn't stored; empty if the body is stored or can't
        be fetched.
    until_close : bool
        Whether the end of the body was marked only by the close of the connection,
        so that the body may be truncated.
    """

    __slots__ = ("status", "headers", "body", "digest", "location", "until_close")

    def __init__(self, status, headers, body, digest, location="", until_close=False):
        self.status = status
        self.headers = tuple((name, value) for name, value in headers)
        self.body = body
        self.digest = digest
        self.location = location
        self.until_close = until_close


class Claim(Record):
    """
    The record of one request that may run at most once.

    Parameters
    ----------
    account : str
        Name of the client account.
    key : str
        Idempotency key, unique within the account.
    digest : str
        Digest of the request; a different request with the same key is refused.
    attempt : str
        Identifier of the attempt that holds the claim.
    agent : str
        Name of the agent that the attempt was dispatched to.
    incarnation : str
        Incarnation of that agent.
    state : ClaimState
        ``OPEN`` until the outcome is known.
    answer : StoredAnswer or None
        Set if ``SETTLED``, unless the attempt ended without a complete answer.
    reserved_s : float
        Wall-clock time of the reservation, in seconds.
    settled_s : float or None
        Wall-clock time of the settlement, in seconds; None while open.

    Notes
    -----
    Claims are stored as lists in the order of the slots.
    """

    __slots__ = (
        "account",
        "key",
        "digest",
        "attempt",
        "agent",
        "incarnation",
        "state",
        "answer",
        "reserved_s",
        "settled_s",
    )

    def __init__(
        self,
        account,
        key,
        digest,
        attempt,
        agent,
        incarnation,
        state,
        answer,
        reserved_s,
        settled_s=None,
    ):
        self.account = account
        self.key = key
        self.digest = digest
        self.attempt = attempt
        self.agent = agent
        self.incarnation = incarnation
        self.state = state
        self.answer = answer
        self.reserved_s = reserved_s
        self.settled_s = settled_s


_STATE_INDEX = Claim.__slots__.index("state")
_ANSWER_INDEX = Claim.__slots__.index("answer")


def claim_prefix():
    """
    Return the common prefix of the register keys of claims.

    Returns
    -------
    str
    """
    return _KEY_PREFIX


def claim_key(account, key):
    """
    Return the key of the register that holds a claim.

    Parameters
    ----------
    account : str
        Name of the client account.
    key : str
        Idempotency key of any length and content.

    Returns
    -------
    str
        Key of fixed length, distinct for each pair of account and idempotency key.

    Examples
    --------
    >>> claim_key("a/b", "c") != claim_key("a", "b/c")
    True
    """
    pair = f"{len(account)}:{account}{key}".encode()
    return _KEY_PREFIX + sha256(pair).hexdigest()[:40]


def make_stored_answer(
    status, headers, body, limit_bytes, location="", until_close=False
):
    """
    Build the stored form of an answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : iterable of (str, str)
        Pairs of name and value to replay.
    body : bytes
        The complete body.
    limit_bytes : int
        Longest body to store, in bytes; of a longer one only the digest and the
        location are stored.
    location : str
        Where to fetch a longer body.
    until_close : bool
        See `StoredAnswer`.

    Returns
    -------
    StoredAnswer
    """
    digest = sha256(body).hexdigest()
    if len(body) <= limit_bytes:
        return StoredAnswer(status, headers, body, digest, "", until_close)
    return StoredAnswer(status, headers, None, digest, location, until_close)


def encode_answer(answer):
    """
    Encode an answer as a JSON-serialisable value.

    Parameters
    ----------
    answer : StoredAnswer or None

    Returns
    -------
    list or None
        Status, headers, body in base64, digest and location; `until_close` is encoded
        as an additional header.
    """
    if answer is None:
        return None
    body = None if answer.body is None else b64encode(answer.body).decode()
    headers = [list(pair) for pair in answer.headers]
    if answer.until_close:
        headers.append(_UNTIL_CLOSE_HEADER)
    return [answer.status, headers, body, answer.digest, answer.location]


def decode_answer(encoded):
    """
    Decode the result of `encode_answer`.

    Parameters
    ----------
    encoded : list or None

    Returns
    -------
    StoredAnswer or None
    """
    if encoded is None:
        return None
    status, headers, body, digest, location = encoded
    body = None if body is None else b64decode(body)
    until_close = _UNTIL_CLOSE_HEADER in headers
    headers = [pair for pair in headers if pair != _UNTIL_CLOSE_HEADER]
    return StoredAnswer(status, headers, body, digest, location, until_close)


def encode_claim(claim):
    """
    Encode a claim as the value of a register.

    Parameters
    ----------
    claim : Claim

    Returns
    -------
    str
        JSON text rather than a list: a replica holds every claim in memory, and
        text needs a fraction of the memory that the fields need as objects.
    """
    fields = [getattr(claim, name) for name in Claim.__slots__]
    fields[_STATE_INDEX] = claim.state.value
    fields[_ANSWER_INDEX] = encode_answer(claim.answer)
    return orjson.dumps(fields).decode()


def decode_claim(value):
    """
    Decode the result of `encode_claim`.

    Parameters
    ----------
    value : str

    Returns
    -------
    Claim

    Raises
    ------
    MalformedClaimError
        If the value isn't an encoded claim.
    """
    try:
        fields = orjson.loads(value)
        fields[_STATE_INDEX] = ClaimState(fields[_STATE_INDEX])
        fields[_ANSWER_INDEX] = decode_answer(fields[_ANSWER_INDEX])
        return Claim(*fields)
    except (IndexError, KeyError, TypeError, ValueError) as exc:
        raise MalformedClaimError(f"{str(value)[:200]} is not a claim: {exc}") from exc
