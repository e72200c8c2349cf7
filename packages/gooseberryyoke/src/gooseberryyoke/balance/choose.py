"""The choice of a backend server for a request."""

from returns.result import Failure, Success

from gooseberryyoke.balance.policy import POLICIES
from gooseberryyoke.balance.predictive import LeastCost
from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["choose"]

UNAVAILABLE = 503
NO_SERVER_RETRY_S = 2.0
DEFAULT_POLICY = POLICIES[LeastCost.name]


def choose(fleet, demand, now, rng, exclude=(), policy=DEFAULT_POLICY):
    """
    Choose a backend server for a request.

    Servers that failed lately are taken only if no other is left, cold ones
    only after those, leaving ones and those in a pause never.

    Parameters
    ----------
    fleet : Fleet
    demand : Demand
    now : float
        Time in seconds.
    rng : random.Random
    exclude : collection of str
        Servers that earlier attempts of the request have tried.
    policy : Policy
        By default the one that picks the least cost.

    Returns
    -------
    Result[Choice, Refusal]
    """
    pool = fleet.pool(demand.service, demand.model)
    closed = fleet.closed(demand.service, demand.model)

    def open_(view):
        return view.paused_until_s <= now and view.server_id not in exclude

    def healthy(view):
        return view.shunned_until_s <= now and open_(view)

    def cold(view):
        return not view.leaving and open_(view)

    for servers, usable in ((pool, healthy), (pool, open_), (closed, cold)):
        if len(servers):
            choice = policy.pick(fleet, servers, usable, demand, now, rng)
            if choice is not None:
                return Success(choice)
    return Failure(_refusal(demand, pool, closed, now))


def _refusal(demand, pool, closed, now):
    wanted = f"service {demand.service!r}, model {demand.model!r}"
    ends_s = [view.paused_until_s for view in pool]
    if ends_s and min(ends_s) > now:
        detail = f"every server for {wanted} asked for a pause"
        return _not_run("servers-paused", detail, min(ends_s) - now)
    if len(pool):
        return _not_run("all-tried", f"every server for {wanted} was tried")
    if len(closed):
        return _not_run("all-leaving", f"every server for {wanted} is leaving")
    return _not_run("no-server", f"no server has announced {wanted}")


def _not_run(reason, detail, retry_s=NO_SERVER_RETRY_S):
    return Refusal(Verdict.NOT_RUN, UNAVAILABLE, reason, detail, retry_s)
