"""What becomes of a request that may run once, before it is dispatched."""

import trio
from returns.result import Failure, Success

from gooseberryyoke.claim import (
    QueryAgent,
    Release,
    ReplayAnswer,
    Reserve,
    Settle,
    Wait,
    decide_on_claim,
    decide_on_outcome,
)
from gooseberryyoke.record import Record

__all__ = ["ClaimResolver", "Proceed"]

_DEFAULT_POLL_S = 0.1


class Proceed(Record):
    """
    The request may be reserved and dispatched.

    Parameters
    ----------
    version : int
        To be given to `ClaimKeeper.reserve`.
    """

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class ClaimResolver:
    """
    Brings a request's claim to a decision, with its agent's word.

    Parameters
    ----------
    keeper : ClaimKeeper
        The claims.
    ask : callable
        ``async ask(claim)`` orders the claim's agent to bar the attempt and
        returns its `AttemptOutcome`, None if the agent can't be reached.
    poll_s : float
        Pause between two questions about an attempt that runs.
    """

    def __init__(self, keeper, ask, poll_s=_DEFAULT_POLL_S):
        self._keeper = keeper
        self._ask = ask
        self._poll_s = poll_s

    async def resolve(self, account, key, digest, timeout_s):
        """
        Decide on a request.

        Parameters
        ----------
        account, key, digest : str
            Of the request.
        timeout_s : float
            How long to wait for an attempt that runs.

        Returns
        -------
        Result of Record, RegisterError
            Success of `Proceed`, `ReplayAnswer`, `RejectMismatch`, `RejectMayHaveRun`,
            or `Wait` if the attempt still runs when the time is over.
        """
        deadline_s = trio.current_time() + timeout_s
        while True:
            decision = await self._once(account, key, digest)
            is_over = trio.current_time() >= deadline_s
            if decision != Success(Wait()) or is_over:
                return decision
            await trio.sleep(self._poll_s)

    async def _once(self, account, key, digest):
        looked_up = await self._keeper.lookup(account, key)
        if isinstance(looked_up, Failure):
            return looked_up
        held = looked_up.unwrap()
        decision = decide_on_claim(held.claim, digest)
        if isinstance(decision, Reserve):
            return Success(Proceed(held.version))
        if isinstance(decision, QueryAgent):
            outcome = await self._ask(held.claim)
            return await self._follow(held, decide_on_outcome(held.claim, outcome))
        return Success(decision)

    async def _follow(self, held, decision):
        if isinstance(decision, Release):
            # Barred for good: the claim can be given up without a trace of doubt.
            released = await self._keeper.release(held)
            return released.map(lambda found: _after_release(found))
        if isinstance(decision, Settle):
            settled = await self._keeper.settle(held, decision.answer)
            if isinstance(settled, Success) and decision.answer is not None:
                return Success(ReplayAnswer(decision.answer))
            return settled.map(
                lambda found: decide_on_claim(found.claim, held.claim.digest)
            )
        return Success(decision)


def _after_release(found):
    # Another repeat may have reserved the claim in the meantime: look again.
    return Wait() if found.claim is not None else Proceed(found.version)
