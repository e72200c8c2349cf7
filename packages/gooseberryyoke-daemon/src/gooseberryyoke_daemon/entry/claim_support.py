"""What the filters around claims share."""

from hashlib import sha256

from returns.result import Success

from gooseberryyoke.claim import AttemptOutcome, AttemptState, make_stored_answer
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.entry.delivery import Delivery
from gooseberryyoke_daemon.entry.remote_attempt import AttemptReference
from gooseberryyoke_daemon.wire import Address

__all__ = [
    "CONTENDED",
    "KEPT_BODY_BYTES",
    "NO_MAJORITY",
    "RETRY_S",
    "AgentQuestions",
    "digest_of",
    "kept_form",
    "no_majority",
]

CONTENDED = "claim-contended"
NO_MAJORITY = "no-majority"
KEPT_BODY_BYTES = 64 * 1024
RETRY_S = 1.0
_LOST_AGENT_S = 1.0


class AgentQuestions:
    """
    Asks agents what became of the attempts that hold claims.

    Parameters
    ----------
    link : AgentLink
    clock : Clock
    """

    __slots__ = ("_clock", "_link")

    def __init__(self, link, clock):
        self._link = link
        self._clock = clock

    async def ask(self, claim):
        """
        Bar an attempt, or wait for its end.

        Parameters
        ----------
        claim : Claim
            Open.

        Returns
        -------
        AttemptOutcome or None
            None if the agent can't be reached.
        """
        delivery = Delivery()
        delivery.begin_attempt(streaming=False)
        reference = AttemptReference(
            Address.parse(claim.agent),
            claim.attempt,
            int(claim.incarnation),
            claim.reserved_s,
            repeatable=False,
        )
        followed = await self._link.follow(
            reference, delivery, self._clock.now() + _LOST_AGENT_S
        )
        if isinstance(followed, Success):
            return AttemptOutcome(AttemptState.DONE, kept_form(delivery.take_answer()))
        return _outcome_of(followed.failure())


def _outcome_of(refusal):
    if refusal.verdict is Verdict.NOT_RUN:
        return AttemptOutcome(AttemptState.BARRED)
    if refusal.reason == "agent-lost":
        return None
    if refusal.reason == "agent-cannot-tell":
        return AttemptOutcome(AttemptState.UNKNOWN)
    # The agent gave up on the attempt, with no whole answer to keep.
    return AttemptOutcome(AttemptState.DONE, None)


def kept_form(answer):
    """
    Make the form of an answer that claims keep.

    Parameters
    ----------
    answer : Answer

    Returns
    -------
    StoredAnswer
    """
    return make_stored_answer(
        answer.status,
        answer.headers,
        answer.body,
        KEPT_BODY_BYTES,
        until_close=answer.until_close,
    )


def no_majority(exchange, error):
    """
    Refuse because the durable state can't be reached; nothing was dispatched.

    Parameters
    ----------
    exchange : Exchange
    error : RegisterError

    Returns
    -------
    Refusal
    """
    detail = f"the durable state can't be reached: {error}"
    return Refusal(exchange.verdict, 503, NO_MAJORITY, detail, RETRY_S)


def digest_of(request):
    """
    Digest what makes two requests the same.

    Parameters
    ----------
    request : Request

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    parts = (request.method.encode(), request.target.encode(), request.body)
    return sha256(b"\n".join(parts)).hexdigest()
