"""Decisions on a request that depend on the state of its claim."""

from gooseberryyoke.claim.claim import ClaimState
from gooseberryyoke.claim.ledger import AttemptState
from gooseberryyoke.record import Record

__all__ = [
    "QueryAgent",
    "RejectMayHaveRun",
    "RejectMismatch",
    "Release",
    "ReplayAnswer",
    "Reserve",
    "Settle",
    "Wait",
    "decide_on_claim",
    "decide_on_outcome",
    "is_expired",
]


class Reserve(Record):
    """Decision to reserve a claim, then dispatch the request: no claim exists yet."""

    __slots__ = ()


class ReplayAnswer(Record):
    """Decision to replay the stored answer: the request has already run."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer


class QueryAgent(Record):
    """Decision to ask the agent to bar the attempt or else report its outcome."""

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim


class RejectMismatch(Record):
    """Decision to refuse with 422: the key was used for a different request."""

    __slots__ = ()


class RejectMayHaveRun(Record):
    """Decision to refuse with the verdict may-have-run: a run can't be ruled out."""

    __slots__ = ("detail",)

    def __init__(self, detail):
        self.detail = detail


class Release(Record):
    """Decision to release the claim: its attempt is permanently barred."""

    __slots__ = ()


class Wait(Record):
    """Decision to wait and query again: the attempt is still running."""

    __slots__ = ()


class Settle(Record):
    """Decision to settle the claim and return the answer: the attempt is done."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer


def decide_on_claim(claim, digest):
    """
    Decide on a request from the claim that is stored for its key.

    Parameters
    ----------
    claim : Claim or None
        The stored claim, or None if there is none.
    digest : str
        Digest of the request.

    Returns
    -------
    Reserve or RejectMismatch or ReplayAnswer or RejectMayHaveRun or QueryAgent
    """
    if claim is None:
        return Reserve()
    if claim.digest != digest:
        return RejectMismatch()
    if claim.state is ClaimState.OPEN:
        return QueryAgent(claim)
    if claim.answer is None:
        return RejectMayHaveRun(
            f"attempt {claim.attempt} of this key ended without a whole answer"
        )
    return ReplayAnswer(claim.answer)


def decide_on_outcome(claim, outcome):
    """
    Decide on an open claim from the agent's reply to a request to bar its attempt.

    Parameters
    ----------
    claim : Claim
        The open claim.
    outcome : AttemptOutcome or None
        The agent's reply, or None if the agent could not be reached.

    Returns
    -------
    Release or Wait or Settle or RejectMayHaveRun
    """
    if outcome is None:
        return RejectMayHaveRun(
            f"agent {claim.agent} of attempt {claim.attempt} is away"
        )
    if outcome.state is AttemptState.BARRED:
        return Release()
    if outcome.state is AttemptState.RUNNING:
        return Wait()
    if outcome.state is AttemptState.DONE:
        return Settle(outcome.answer)
    # Neither of the other states proves that the attempt never runs: UNKNOWN means
    # that it was not barred, and OTHER_INCARNATION that the agent was restarted and
    # doesn't know the attempts of its predecessor.
    return RejectMayHaveRun(
        f"agent {claim.agent} can't tell of attempt {claim.attempt}: "
        f"{outcome.state.value}"
    )


def is_expired(claim, now, retention_s):
    """
    Return whether the retention period of a claim has passed.

    Parameters
    ----------
    claim : Claim
        Open or settled claim.
    now : float
        Wall-clock time in seconds.
    retention_s : float
        Retention period of claims in seconds, as set in the bundle. It must exceed
        both the time within which callers retry a request and the longest time for
        which a process may be suspended before it sends a dispatch.

    Returns
    -------
    bool
        True if the claim may be deleted. The period starts at the settlement, or at
        the reservation for an open claim.
    """
    since_s = claim.reserved_s if claim.settled_s is None else claim.settled_s
    return now - since_s > retention_s
