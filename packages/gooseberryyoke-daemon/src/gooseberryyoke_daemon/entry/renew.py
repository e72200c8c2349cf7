"""Filter: begins again under a newer bundle."""

from returns.result import Failure

from gooseberryyoke.outcome import Verdict

__all__ = ["Renew"]

_OLD_BUNDLE = "old-bundle"
_TRIES = 2


class Renew:
    """
    Runs a request again from the start if an agent knows a newer bundle.

    Parameters
    ----------
    check_now : async callable
        Looks for the newest bundle.

    Notes
    -----
    During a roll the entries learn of the new bundle one after another, and an
    agent that has heard of it refuses orders under the old one. Without this
    filter each roll would refuse requests for a moment.
    """

    __slots__ = ("_check_now",)

    def __init__(self, check_now):
        self._check_now = check_now

    async def __call__(self, exchange, proceed):
        """Go on, and once more after a refusal of the old bundle."""
        for _ in range(_TRIES):
            result = await proceed()
            if not _is_old_bundle(result):
                return result
            await self._check_now()
        return result


def _is_old_bundle(result):
    if not isinstance(result, Failure):
        return False
    refusal = result.failure()
    return refusal.reason == _OLD_BUNDLE and refusal.verdict is Verdict.NOT_RUN
