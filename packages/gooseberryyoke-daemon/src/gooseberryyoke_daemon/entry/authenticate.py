"""Filter: the bundle in force and the client account that asks."""

from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["Authenticate"]

_SCHEME = "bearer "
_NO_BUNDLE_RETRY_S = 1.0


class Authenticate:
    """
    Finds bundle and account, or refuses.

    Parameters
    ----------
    current_bundle : callable
        Gives the bundle while this entry's lease on it holds, else None.
    alternatives : callable
        Gives the base URLs of other entries.
    """

    __slots__ = ("_alternatives", "_current_bundle")

    def __init__(self, current_bundle, alternatives):
        self._current_bundle = current_bundle
        self._alternatives = alternatives

    async def __call__(self, exchange, proceed):
        """Set the exchange's bundle and account, then go on."""
        exchange.bundle = self._current_bundle()
        if exchange.bundle is None:
            return Failure(self._no_bundle())
        header = exchange.request.header("authorization", "")
        if not header.lower().startswith(_SCHEME):
            return _refuse("no-key", "no Authorization header with a Bearer key")
        exchange.account = exchange.bundle.account_for(header[len(_SCHEME) :].strip())
        if exchange.account is None:
            return _refuse("unknown-key", "the Bearer key is of no client account")
        return await proceed()

    def _no_bundle(self):
        # An entry that is cut off from the replicas may hold a bundle that has
        # been replaced. Once its lease has run out it admits nothing, so that a
        # roll can be reported done without having reached it.
        return Refusal(
            Verdict.NOT_RUN,
            503,
            "no-bundle",
            "this entry can't confirm that its bundle is the newest",
            _NO_BUNDLE_RETRY_S,
            self._alternatives(),
        )


def _refuse(reason, detail):
    return Failure(Refusal(Verdict.NOT_RUN, 401, reason, detail))
