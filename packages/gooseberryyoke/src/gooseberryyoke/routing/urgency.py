"""Urgency of a request, computed from its client account and route."""

__all__ = ["urgency"]

_ROUTE_PRIORITY_LEVELS = 10
"""Number of route priorities that are distinguished within one account priority. Higher
ones count as the last, so that they never outweigh the account priority."""


def urgency(route, account):
    """
    Compute the rank of a request among the requests of its service.

    Parameters
    ----------
    route : Route
        Route of the request.
    account : ClientAccount or None
        Client account of the request; None if it has none.

    Returns
    -------
    int
        Rank; a lower one is more urgent. The priority of the account is compared first,
        then that of the route. An account without a priority has that of the route.
    """
    leading = route.priority
    if account is not None and account.priority is not None:
        leading = account.priority
    return leading * _ROUTE_PRIORITY_LEVELS + min(
        route.priority, _ROUTE_PRIORITY_LEVELS - 1
    )
