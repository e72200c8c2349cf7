"""The table of routes, services and accounts under one version."""

from gooseberryyoke.routing.limits import CallerLimits

__all__ = ["RouteTable"]


class RouteTable:
    """
    Routing configuration that determines the service and account of a request.

    Parameters
    ----------
    version : int
        Version of the table; a higher version replaces a lower one.
    routes : iterable of Route
        Routes of the table.
    services : iterable of RoutedService
        Services that the routes refer to.
    accounts : iterable of ClientAccount or None
        Client accounts. With None no request needs a key; with an empty list none has
        the one that it needs.
    limits : CallerLimits, optional
        Limits on the connections of callers.

    Notes
    -----
    Matching removes path segments from the end, with one lookup for each slash, so that
    its cost does not depend on the number of routes.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "accounts",
        "requires_keys",
        "limits",
        "_by_prefix",
        "_by_key",
    )

    def __init__(self, version, routes, services, accounts=None, limits=None):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.requires_keys = accounts is not None
        self.accounts = tuple(accounts or ())
        self.limits = limits or CallerLimits()
        self._by_prefix = {
            (route.host, route.path_prefix): route for route in self.routes
        }
        self._by_key = {
            key: account for account in self.accounts for key in account.keys
        }

    def match(self, host, path):
        """
        Find the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host name without the port.
        path : str
            Path as received, without the query.

        Returns
        -------
        Route or None
        """
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None

    def account_of(self, key):
        """
        Find the account that a key belongs to.

        Parameters
        ----------
        key : str or None
            Bearer key of the request.

        Returns
        -------
        ClientAccount or None
        """
        return self._by_key.get(key)
