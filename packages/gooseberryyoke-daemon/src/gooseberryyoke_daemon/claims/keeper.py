"""Claims on registers: looked up, reserved, settled and released."""

from returns.result import Failure, Success

from gooseberryyoke.claim import (
    Claim,
    ClaimState,
    claim_key,
    decode_claim,
    encode_claim,
)
from gooseberryyoke.record import Record
from gooseberryyoke.register import Conflict, Unavailable

__all__ = ["ClaimKeeper", "ClaimLost", "HeldClaim"]

_RESERVE_TRIES = 4
_DEFAULT_TIMEOUT_S = 2.0


class HeldClaim(Record):
    """
    What a claim's register holds.

    Parameters
    ----------
    claim : Claim or None
        None if there is none.
    version : int
        Of the register, for the next write.
    """

    __slots__ = ("claim", "version")

    def __init__(self, claim, version):
        self.claim = claim
        self.version = version


class ClaimLost(Record):
    """
    Another attempt holds the claim, or none does.

    Parameters
    ----------
    found : HeldClaim
        What stands there now.
    """

    __slots__ = ("found",)

    def __init__(self, found):
        self.found = found


class ClaimKeeper:
    """
    Keeps claims in registers.

    Parameters
    ----------
    registers : RegisterClient
        Where the claims are.
    wall : callable
        Wall-clock time in seconds, for the claims' times.
    timeout_s : float
        For each operation, unless told otherwise.
    """

    def __init__(self, registers, wall, timeout_s=_DEFAULT_TIMEOUT_S):
        self._registers = registers
        self._wall = wall
        self._timeout_s = timeout_s

    async def lookup(self, account, key, timeout_s=None):
        """
        Find the claim of an account's idempotency key.

        Parameters
        ----------
        account, key : str
        timeout_s : float, optional

        Returns
        -------
        Result of HeldClaim, Unavailable
        """
        found = await self._registers.read(
            claim_key(account, key), timeout_s or self._timeout_s
        )
        return found.map(_held)

    async def reserve(
        self,
        account,
        key,
        digest,
        attempt,
        agent,
        incarnation,
        version,
        timeout_s=None,
    ):
        """
        Reserve a claim; dispatch only after a success.

        Parameters
        ----------
        account, key, digest : str
            Of the request.
        attempt : str
            Identity of the attempt that is to run.
        agent, incarnation : str
            Where it is to run.
        version : int
            As looked up, of a register without a claim.
        timeout_s : float, optional

        Returns
        -------
        Result of HeldClaim, ClaimLost or Unavailable
            After `ClaimLost` the request is to be resolved again, for a new
            attempt. After `Unavailable` nobody may dispatch this attempt, whether
            or not the claim stands: a later repeat bars it at the agent.
        """
        claim = Claim(
            account,
            key,
            digest,
            attempt,
            agent,
            incarnation,
            ClaimState.OPEN,
            None,
            self._wall(),
        )
        for _ in range(_RESERVE_TRIES):
            result = await self._write(claim, version, timeout_s)
            error = result.swap().value_or(None)
            if not isinstance(error, Conflict) or error.current.value is not None:
                break
            # Only a tombstone came or went between the look-up and this write.
            version = error.current.version
        if isinstance(error, Unavailable) and error.may_have_written:
            return await self._look_again(claim, error, timeout_s)
        return result.alt(_lost)

    async def _look_again(self, claim, error, timeout_s):
        # A repeat at another entry may have read this reservation before its
        # writer heard of it, barred the attempt and taken the claim over. Nothing
        # was dispatched: the caller can start afresh instead of being refused.
        found = await self.lookup(claim.account, claim.key, timeout_s)
        if isinstance(found, Failure):
            return Failure(error)
        held = found.unwrap()
        if held.claim is not None and held.claim.attempt == claim.attempt:
            return found
        return Failure(ClaimLost(held))

    async def settle(self, held, answer, timeout_s=None):
        """
        Record the outcome of a claim's attempt.

        Parameters
        ----------
        held : HeldClaim
            As reserved or looked up.
        answer : StoredAnswer or None
            None if the attempt ended without a whole answer.
        timeout_s : float, optional

        Returns
        -------
        Result of HeldClaim, ClaimLost or Unavailable
            Success too if a repeat at another entry has settled this attempt.
        """
        settled = held.claim.replace(
            state=ClaimState.SETTLED, answer=answer, settled_s=self._wall()
        )
        result = await self._write(settled, held.version, timeout_s)
        return result.alt(_lost).lash(lambda error: _settled_by_other(held, error))

    async def release(self, held, timeout_s=None):
        """
        Give a claim up; its attempt must be proved not to run, now or later.

        Parameters
        ----------
        held : HeldClaim
            As reserved or looked up.
        timeout_s : float, optional

        Returns
        -------
        Result of HeldClaim, ClaimLost or Unavailable
            Success too if the attempt no longer holds the claim.
        """
        key = claim_key(held.claim.account, held.claim.key)
        result = await self._registers.write(
            key, held.version, None, timeout_s or self._timeout_s
        )
        return result.map(_held).alt(_lost).lash(lambda err: _released(held, err))

    async def _write(self, claim, version, timeout_s):
        key = claim_key(claim.account, claim.key)
        value = encode_claim(claim)
        result = await self._registers.write(
            key, version, value, timeout_s or self._timeout_s
        )
        return result.map(_held)


def _held(versioned):
    claim = None if versioned.value is None else decode_claim(versioned.value)
    return HeldClaim(claim, versioned.version)


def _lost(error):
    if isinstance(error, Conflict):
        return ClaimLost(_held(error.current))
    return error


def _settled_by_other(held, error):
    if isinstance(error, ClaimLost):
        found = error.found.claim
        is_same = found is not None and found.attempt == held.claim.attempt
        if is_same and found.state is ClaimState.SETTLED:
            return Success(error.found)
    return Failure(error)


def _released(held, error):
    if isinstance(error, ClaimLost):
        found = error.found.claim
        if found is None or found.attempt != held.claim.attempt:
            return Success(error.found)
    return Failure(error)
