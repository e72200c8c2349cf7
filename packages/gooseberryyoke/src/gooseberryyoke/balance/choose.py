"""Selection of a backend server for a request."""

from returns.result import Failure, Success

from gooseberryyoke.balance.least_cost import LeastCost
from gooseberryyoke.balance.policy import POLICIES
from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["choose"]

SERVICE_UNAVAILABLE = 503
NO_SERVER_RETRY_S = 2.0
DEFAULT_POLICY = POLICIES[LeastCost.name]


def choose(fleet, demand, now, rng, exclude=(), policy=DEFAULT_POLICY):
    """
    Choose a backend server for a request.

    Servers in a cool-down after a failure are used only if no other server is
    available, and cold servers only if no server in a cool-down is available
    either. Servers that are leaving or paused are never used.

    Parameters
    ----------
    fleet : Fleet
    demand : Demand
    now : float
        Time in seconds.
    rng : random.Random
    exclude : collection of str
        Servers already tried by earlier attempts of the request.
    policy : Policy
        Selection policy; `LeastCost` by default.

    Returns
    -------
    Result[Choice, Refusal]
    """
    pool = fleet.pool(demand.service, demand.model)
    inactive = fleet.inactive(demand.service, demand.model)

    def available(view):
        return view.paused_until_s <= now and view.server_id not in exclude

    def healthy(view):
        return view.cooldown_until_s <= now and available(view)

    def cold(view):
        return not view.leaving and available(view)

    for servers, usable in ((pool, healthy), (pool, available), (inactive, cold)):
        if len(servers):
            choice = policy.pick(fleet, servers, usable, demand, now, rng)
            if choice is not None:
                return Success(choice)
    return Failure(_refusal(demand, pool, inactive, now))


def _refusal(demand, pool, inactive, now):
    wanted = f"service {demand.service!r}, model {demand.model!r}"
    pause_ends_s = [view.paused_until_s for view in pool]
    if pause_ends_s and min(pause_ends_s) > now:
        detail = f"every server for {wanted} asked for a pause"
        return _not_run("servers-paused", detail, min(pause_ends_s) - now)
    if len(pool):
        return _not_run("all-tried", f"every server for {wanted} was tried")
    if len(inactive):
        return _not_run("all-leaving", f"every server for {wanted} is leaving")
    return _not_run("no-server", f"no server has announced {wanted}")


def _not_run(reason, detail, retry_s=NO_SERVER_RETRY_S):
    return Refusal(Verdict.NOT_RUN, SERVICE_UNAVAILABLE, reason, detail, retry_s)
