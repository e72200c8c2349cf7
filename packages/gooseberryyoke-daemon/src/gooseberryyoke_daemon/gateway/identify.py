"""Filter: route, client account and deadline of a request."""

from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.placement import ElapsedTimeEstimator

__all__ = ["Identify"]

_SCHEME = "bearer "
_NO_TABLE_RETRY_S = 0.5


class Identify:
    """
    Finds route and account, or refuses.

    Parameters
    ----------
    current_table : callable
        Gives the table in force, or None.
    names : HeaderNames
    rng : random.Random
        Draws the service of a split route.
    warm_up : WarmUp
    """

    __slots__ = ("_current_table", "_names", "_patience", "_rng", "_warm_up")

    def __init__(self, current_table, names, rng, warm_up):
        self._warm_up = warm_up
        self._patience = ElapsedTimeEstimator()
        self._current_table = current_table
        self._names = names
        self._rng = rng

    async def __call__(self, exchange, proceed):
        """Set table, route, account, service and deadline, then go on."""
        patience_s = self._patience_s(exchange.request)
        await self._warm_up.wait_for(
            lambda: self._current_table() is not None, exchange.received_s + patience_s
        )
        table = exchange.table = self._current_table()
        if table is None:
            # The routes may be there: 404 would tell the caller to give up.
            return _refuse(503, "no-table", "no route table yet", _NO_TABLE_RETRY_S)
        req = exchange.request
        host = req.header("host", "").partition(":")[0].lower()
        path = req.target.partition("?")[0]
        route = exchange.route = table.match(host, path)
        if route is None:
            return _refuse(404, "no-route", f"no route for {host}{path}")
        if table.requires_keys and not route.is_public:
            exchange.account = table.account_of(_key_of(req))
            if exchange.account is None:
                return _refuse(401, "unknown-key", "the key is of no client account")
        exchange.service = route.pick_service(self._rng)
        exchange.tried_for_s = self._patience.min_elapsed_s(route.name, patience_s)
        exchange.deadline_s = exchange.received_s + min(patience_s, route.timeout_s)
        return await proceed()

    def _patience_s(self, req):
        text = req.header(self._names.deadline_ms)
        try:
            return max(0.0, float(text) / 1000)
        except (TypeError, ValueError):
            # Left out or unreadable: the route's timeout alone holds.
            return float("inf")


def _key_of(req):
    header = req.header("authorization", "")
    if not header.lower().startswith(_SCHEME):
        return None
    return header[len(_SCHEME) :].strip()


def _refuse(status, reason, detail, retry_after_s=None):
    return Failure(Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s))
