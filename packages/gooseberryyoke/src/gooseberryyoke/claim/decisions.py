"""What to do with a request in view of its claim."""

from gooseberryyoke.claim.claim import ClaimState
from gooseberryyoke.claim.ledger import AttemptState
from gooseberryyoke.record import Record

__all__ = [
    "AnswerAgain",
    "AskAgent",
    "Release",
    "Reserve",
    "Settle",
    "TellMayHaveRun",
    "TellMismatch",
    "Wait",
    "decide_on_claim",
    "decide_on_outcome",
    "is_expired",
]


class Reserve(Record):
    """No claim stands in the way: reserve one, then dispatch."""

    __slots__ = ()


class AnswerAgain(Record):
    """The request has run: give the kept answer."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer


class AskAgent(Record):
    """An attempt holds the claim: bar it at its agent, or learn its outcome."""

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim


class TellMismatch(Record):
    """The key was used for another request: refuse with 422."""

    __slots__ = ()


class TellMayHaveRun(Record):
    """Nothing can be proved: refuse with the verdict may-have-run."""

    __slots__ = ("detail",)

    def __init__(self, detail):
        self.detail = detail


class Release(Record):
    """The attempt is barred for good: take the claim over."""

    __slots__ = ()


class Wait(Record):
    """The attempt runs: ask again later."""

    __slots__ = ()


class Settle(Record):
    """The attempt is done: settle the claim with its answer, then give it."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer = answer


def decide_on_claim(claim, digest):
    """
    Decide on a request from what the register holds for its key.

    Parameters
    ----------
    claim : Claim or None
        None if there is none.
    digest : str
        Digest of the request.

    Returns
    -------
    Reserve or TellMismatch or AnswerAgain or TellMayHaveRun or AskAgent
    """
    if claim is None:
        return Reserve()
    if claim.digest != digest:
        return TellMismatch()
    if claim.state is ClaimState.OPEN:
        return AskAgent(claim)
    if claim.answer is None:
        return TellMayHaveRun(
            f"attempt {claim.attempt} of this key ended without a whole answer"
        )
    return AnswerAgain(claim.answer)


def decide_on_outcome(claim, outcome):
    """
    Decide on an open claim from its agent's word, after an order to bar.

    Parameters
    ----------
    claim : Claim
        The open claim.
    outcome : AttemptOutcome or None
        None if the agent could not be reached.

    Returns
    -------
    Release or Wait or Settle or TellMayHaveRun
    """
    if outcome is None:
        return TellMayHaveRun(f"agent {claim.agent} of attempt {claim.attempt} is away")
    if outcome.state is AttemptState.BARRED:
        return Release()
    if outcome.state is AttemptState.RUNNING:
        return Wait()
    if outcome.state is AttemptState.DONE:
        return Settle(outcome.answer)
    # UNKNOWN would mean that the order to bar was not carried out, and another
    # incarnation can't tell what its predecessor did: neither proves anything.
    return TellMayHaveRun(
        f"agent {claim.agent} can't tell of attempt {claim.attempt}: "
        f"{outcome.state.value}"
    )


def is_expired(claim, now, retention_s):
    """
    Tell whether a claim may be deleted.

    Parameters
    ----------
    claim : Claim
        Open or settled.
    now : float
        Wall-clock time in seconds.
    retention_s : float
        How long the bundle keeps claims; longer than any caller's last retry and
        than any process may stay frozen with a dispatch in hand.

    Returns
    -------
    bool
    """
    since_s = claim.reserved_s if claim.settled_s is None else claim.settled_s
    return now - since_s > retention_s
