"""The table of routes, services and accounts under one version."""

from gooseberryyoke.routing.limits import CallerLimits

__all__ = ["RouteTable"]


class RouteTable:
    """
    Everything that decides where a request may go.

    Parameters
    ----------
    version : int
        A higher version replaces a lower one.
    routes : iterable of Route
    services : iterable of RoutedService
    accounts : iterable of ClientAccount
        If there are none, no request needs a key.
    limits : CallerLimits, optional

    Notes
    -----
    Matching walks up the path, one lookup for each slash, so that its cost does
    not grow with the number of routes.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "accounts",
        "limits",
        "_by_place",
        "_by_key",
    )

    def __init__(self, version, routes, services, accounts=(), limits=None):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.accounts = tuple(accounts)
        self.limits = limits or CallerLimits()
        self._by_place = {
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
            Without a port.
        path : str
            As sent, without a query.

        Returns
        -------
        Route or None
        """
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_place.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None

    def account_of(self, key):
        """
        Find the account that holds a key.

        Parameters
        ----------
        key : str or None

        Returns
        -------
        ClientAccount or None
        """
        return self._by_key.get(key)
