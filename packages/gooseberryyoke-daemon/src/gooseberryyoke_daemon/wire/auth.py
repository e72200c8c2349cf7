"""Signatures on messages between the system's own processes."""

import hmac
from collections import Counter, deque
from hashlib import sha256

from returns.result import Failure, Success

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.record import Record

__all__ = ["SIGNATURE_HEADER", "Signer", "Verifier"]

SIGNATURE_HEADER = "gooseberryyoke-signature"

_NONCE_BITS = 96
_DEFAULT_WINDOW_S = 30.0
_DEFAULT_NONCES = 65536
_UNAUTHORIZED = 401
_SEPARATOR = ";"


class _Signature(Record):
    """The four fields of the header, as text."""

    __slots__ = ("key_id", "time", "nonce", "mac")

    def __init__(self, key_id, time, nonce, mac):
        self.key_id = key_id
        self.time = time
        self.nonce = nonce
        self.mac = mac

    def __str__(self):
        return _SEPARATOR.join((self.key_id, self.time, self.nonce, self.mac))


def _mac(key, request, key_id, time, nonce):
    digest = sha256(request.body).hexdigest()
    host = request.header("host", "")
    parts = (key_id, request.method, host, request.target, time, nonce, digest)
    return hmac.new(key, "\n".join(parts).encode(), sha256).hexdigest()


class Signer:
    """
    Signs requests with a key shared by the system's processes.

    Parameters
    ----------
    key_id : str
        Names the key; without ``;``.
    key : bytes
        The secret.
    now : callable
        Wall clock, in seconds.
    rng : random.Random
        Source of nonces; seeded apart in each process.
    """

    def __init__(self, key_id, key, now, rng):
        self._key_id = key_id
        self._key = key
        self._now = now
        self._rng = rng

    def sign(self, request):
        """
        Add the signature header.

        Parameters
        ----------
        request : Request
            With its ``host`` header, so that it is good for one process only.

        Returns
        -------
        Request
        """
        time = f"{self._now():.3f}"
        nonce = f"{self._rng.getrandbits(_NONCE_BITS):x}"
        mac = _mac(self._key, request, self._key_id, time, nonce)
        signature = _Signature(self._key_id, time, nonce, mac)
        kept = [pair for pair in request.headers if pair[0] != SIGNATURE_HEADER]
        return request.replace(headers=[*kept, (SIGNATURE_HEADER, str(signature))])


class Verifier:
    """
    Checks signatures, and that each is used once.

    Parameters
    ----------
    keys : dict of str to bytes
        Secrets by key id.
    now : callable
        Wall clock, in seconds.
    window_s : float
        How far the time of a message may lie from ours, either way.
    hosts : container of str, optional
        Values of the ``host`` header that mean this process; any, if not given.
    nonces : int
        How many are remembered; no message is taken beyond.

    Attributes
    ----------
    counts : collections.Counter
        Messages by outcome: ``accepted`` or the reason of the refusal.
    """

    def __init__(
        self,
        keys,
        now,
        window_s=_DEFAULT_WINDOW_S,
        hosts=None,
        nonces=_DEFAULT_NONCES,
    ):
        self.counts = Counter()
        self._keys = keys
        self._now = now
        self._window_s = window_s
        self._hosts = hosts
        self._max_nonces = nonces
        self._seen = set()
        self._seen_order = deque()
        # A restart forgets the nonces: what was signed before it could be replayed.
        self._started_s = now()

    def verify(self, request):
        """
        Check the signature of a request.

        Parameters
        ----------
        request : Request
            As received.

        Returns
        -------
        Result of str, Refusal
            The key id, or a refusal with the verdict not-run.
        """
        signature = _parse(request.header(SIGNATURE_HEADER))
        reason = self._fault(request, signature)
        self.counts[reason or "accepted"] += 1
        if reason is None:
            return Success(signature.key_id)
        detail = f"{request.method} {request.path}: {_DETAILS[reason]}"
        return Failure(Refusal(Verdict.NOT_RUN, _UNAUTHORIZED, reason, detail))

    def _fault(self, request, signature):
        if signature is None:
            return "unsigned"
        key = self._keys.get(signature.key_id)
        if key is None:
            return "unknown-key"
        expected = _mac(key, request, signature.key_id, signature.time, signature.nonce)
        if not hmac.compare_digest(expected.encode(), signature.mac.encode()):
            return "wrong-signature"
        if self._hosts is not None and request.header("host") not in self._hosts:
            return "wrong-host"
        return self._staleness(float(signature.time)) or self._repeat(signature)

    def _staleness(self, time_s):
        if abs(self._now() - time_s) > self._window_s:
            return "stale"
        return "before-start" if time_s < self._started_s - _TIME_STEP_S else None

    def _repeat(self, signature):
        now_s = self._now()
        while self._seen_order and self._seen_order[0][0] < now_s:
            self._seen.discard(self._seen_order.popleft()[1])
        nonce = (signature.key_id, signature.nonce)
        if nonce in self._seen:
            return "replayed"
        if len(self._seen) >= self._max_nonces:
            return "too-many-nonces"
        # A time ahead of ours stays fresh for up to two windows from now.
        self._seen.add(nonce)
        self._seen_order.append((now_s + 2 * self._window_s, nonce))
        return None


# Times travel in milliseconds, rounded.
_TIME_STEP_S = 0.001

_DETAILS = {
    "unsigned": f"no valid {SIGNATURE_HEADER} header",
    "unknown-key": "signed with a key that this process doesn't have",
    "wrong-signature": "the signature doesn't match the message",
    "wrong-host": "signed for another process",
    "stale": "signed too long ago, or clocks differ",
    "before-start": "signed before this process started",
    "replayed": "seen before",
    "too-many-nonces": "more messages within the window than are remembered",
}


def _parse(value):
    fields = (value or "").split(_SEPARATOR)
    if len(fields) != 4:
        return None
    signature = _Signature(*fields)
    whole, _, rest = signature.time.partition(".")
    is_time = (whole + rest).isascii() and (whole + rest).isdigit()
    return signature if is_time else None
