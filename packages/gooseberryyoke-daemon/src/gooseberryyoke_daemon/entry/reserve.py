"""Filter: the claim in the durable state that goes before a dispatch."""

from returns.result import Failure, Success

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.claims import ClaimLost
from gooseberryyoke_daemon.entry.claim_support import (
    CONTENDED,
    RETRY_S,
    kept_form,
    no_majority,
)
from gooseberryyoke_daemon.logs import log_event

__all__ = ["Reserve"]


class Reserve:
    """
    Reserves before the rest of the pipeline; settles or releases after it.

    Parameters
    ----------
    claims : ClaimKeeper
    """

    __slots__ = ("_claims",)

    def __init__(self, claims):
        self._claims = claims

    async def __call__(self, exchange, proceed):
        """Go on only once the claim names this attempt and its agent's life."""
        if exchange.key is None:
            return await proceed()
        reserved = await self._reserve(exchange)
        if isinstance(reserved, Failure):
            return Failure(_refusal(exchange, reserved.failure()))
        held = reserved.unwrap()
        result = await proceed()
        if isinstance(result, Success):
            await self._settle(exchange, held, result.unwrap())
        elif result.failure().verdict is Verdict.NOT_RUN:
            await self._release(exchange, held)
        return result

    async def _reserve(self, exchange):
        return await self._claims.reserve(
            exchange.account.name,
            exchange.key,
            exchange.digest,
            exchange.order.attempt,
            exchange.server.address,
            str(exchange.order.incarnation),
            exchange.claim_version,
        )

    async def _settle(self, exchange, held, answer):
        settled = await self._claims.settle(held, kept_form(answer))
        if isinstance(settled, Failure):
            # The answer is right all the same. A repeat finds the claim open and
            # gets the answer from the agent, which settles it then.
            log_event("settle-failed", request=exchange.number)

    async def _release(self, exchange, held):
        released = await self._claims.release(held)
        if isinstance(released, Failure):
            # The next request with this key asks the agent, which says barred.
            log_event("release-failed", request=exchange.number)
            return
        exchange.claim_version = released.unwrap().version


def _refusal(exchange, error):
    if isinstance(error, ClaimLost):
        detail = "another request with this key was quicker"
        return Refusal(exchange.verdict, 503, CONTENDED, detail, RETRY_S)
    return no_majority(exchange, error)
