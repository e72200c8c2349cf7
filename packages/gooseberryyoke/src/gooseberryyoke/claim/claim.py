"""The durable record of one request that may run at most once."""

from base64 import b64decode, b64encode
from enum import Enum
from hashlib import sha256

import orjson

from gooseberryyoke.claim.exceptions import UnreadableClaim
from gooseberryyoke.record import Record

__all__ = [
    "Claim",
    "ClaimState",
    "KeptAnswer",
    "claim_key",
    "claim_prefix",
    "decode_answer",
    "decode_claim",
    "encode_answer",
    "encode_claim",
    "keep_answer",
]

_PREFIX = "claim/"
_UNTIL_CLOSE = ["connection", "close"]
"""Marks such an answer among its headers, which hold no connection's options
otherwise: entries of earlier releases read no further field, and pass this one on."""


class ClaimState(Enum):
    """Whether the outcome of a claim is known."""

    OPEN = "open"
    SETTLED = "settled"


class KeptAnswer(Record):
    """
    An answer kept for repeats of the same request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Pairs with lower-case names.
    body : bytes or None
        None if it was too large to keep here.
    digest : str
        SHA-256 of the body, in hexadecimal.
    location : str
        Where the body can be had if it isn't here; empty if nowhere.
    until_close : bool
        Only its connection told the end of the answer: it may have been cut off.
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
    One request that may run at most once.

    Parameters
    ----------
    account : str
        The client account.
    key : str
        The account's idempotency key.
    digest : str
        Digest of the request; the same key with another request is refused.
    attempt : str
        Identity of the attempt that holds the claim.
    agent : str
        The agent that the attempt was dispatched to.
    incarnation : str
        The life of that agent.
    state : ClaimState
        ``OPEN`` until the outcome is known.
    answer : KeptAnswer or None
        For ``SETTLED``; None if the attempt ended without a whole answer.
    reserved_s : float
        Wall-clock time of the reservation.
    settled_s : float or None
        Wall-clock time of the settlement.
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


_STATE = Claim.__slots__.index("state")
_ANSWER = Claim.__slots__.index("answer")


def claim_prefix():
    """
    Give the prefix of all claims' register keys.

    Returns
    -------
    str
    """
    return _PREFIX


def claim_key(account, key):
    """
    Name the register of a claim.

    Parameters
    ----------
    account : str
        The client account.
    key : str
        The account's idempotency key, of any length and content.

    Returns
    -------
    str
        Short; differs for each pair.

    Examples
    --------
    >>> claim_key("a/b", "c") != claim_key("a", "b/c")
    True
    """
    pair = f"{len(account)}:{account}{key}".encode()
    return _PREFIX + sha256(pair).hexdigest()[:40]


def keep_answer(status, headers, body, limit_bytes, location="", until_close=False):
    """
    Make the kept form of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (str, str)
        Pairs to be given again.
    body : bytes
        The whole body.
    limit_bytes : int
        A longer body is kept as its digest and location only.
    location : str
        Where a longer body can be had.
    until_close : bool
        As for `KeptAnswer`.

    Returns
    -------
    KeptAnswer
    """
    digest = sha256(body).hexdigest()
    if len(body) <= limit_bytes:
        return KeptAnswer(status, headers, body, digest, "", until_close)
    return KeptAnswer(status, headers, None, digest, location, until_close)


def encode_answer(answer):
    """
    Turn an answer into a JSON-able value.

    Parameters
    ----------
    answer : KeptAnswer or None

    Returns
    -------
    list or None
    """
    if answer is None:
        return None
    body = None if answer.body is None else b64encode(answer.body).decode()
    headers = [list(pair) for pair in answer.headers]
    if answer.until_close:
        headers.append(_UNTIL_CLOSE)
    return [answer.status, headers, body, answer.digest, answer.location]


def decode_answer(packed):
    """
    Undo `encode_answer`.

    Parameters
    ----------
    packed : list or None

    Returns
    -------
    KeptAnswer or None
    """
    if packed is None:
        return None
    status, headers, body, digest, location = packed
    body = None if body is None else b64decode(body)
    until_close = _UNTIL_CLOSE in headers
    headers = [pair for pair in headers if pair != _UNTIL_CLOSE]
    return KeptAnswer(status, headers, body, digest, location, until_close)


def encode_claim(claim):
    """
    Turn a claim into a register's value.

    Parameters
    ----------
    claim : Claim

    Returns
    -------
    str
        JSON text: a replica holds every claim in memory, and a text takes a
        fraction of what the same fields take as objects.
    """
    fields = [getattr(claim, name) for name in Claim.__slots__]
    fields[_STATE] = claim.state.value
    fields[_ANSWER] = encode_answer(claim.answer)
    return orjson.dumps(fields).decode()


def decode_claim(value):
    """
    Undo `encode_claim`.

    Parameters
    ----------
    value : str

    Returns
    -------
    Claim

    Raises
    ------
    UnreadableClaim
        If it isn't such a value.
    """
    try:
        fields = orjson.loads(value)
        fields[_STATE] = ClaimState(fields[_STATE])
        fields[_ANSWER] = decode_answer(fields[_ANSWER])
        return Claim(*fields)
    except (IndexError, KeyError, TypeError, ValueError) as exc:
        raise UnreadableClaim(f"{str(value)[:200]} is not a claim: {exc}") from exc
