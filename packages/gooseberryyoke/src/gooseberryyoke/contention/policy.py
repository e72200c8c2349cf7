"""Policy that selects the services managed for contention."""

from gooseberryyoke.routing import RouteKind, urgency

__all__ = ["ContentionPolicy"]


class ContentionPolicy:
    """
    Policy that selects the services managed for contention.

    Requests for such a service contend for slots. Its gateways exchange the numbers of
    waiting requests by urgency and use them to decide which request starts next.

    A service is managed if its streaming routes differ in urgency, so that the order of
    requests matters, or if so many gateways share its servers that each of them sees
    only a few of the slots. Only streaming routes are considered: a stream holds its
    slot for seconds, while other requests end before their order could matter.

    Parameters
    ----------
    contended_from : int
        Minimum number of gateways at which all services are managed.
    """

    __slots__ = ("_contended_from", "_urgency_levels")

    def __init__(self, contended_from):
        self._contended_from = contended_from
        self._urgency_levels = {}

    def use_table(self, table):
        """
        Replace the urgency levels with those of a new routing table.

        Parameters
        ----------
        table : RouteTable
        """
        accounts = table.accounts or (None,)
        urgencies_by_service = {}
        for route in table.routes:
            if route.kind is not RouteKind.STREAMING:
                continue
            urgencies = {urgency(route, account) for account in accounts}
            for split in route.splits:
                urgencies_by_service.setdefault(split.service, set()).update(urgencies)
        self._urgency_levels = {
            service: sorted(urgencies)
            for service, urgencies in urgencies_by_service.items()
        }

    def applies_to(self, service, gateways):
        """
        Return whether a service is managed for contention.

        Parameters
        ----------
        service : str
        gateways : int
            Number of gateways that share its servers, including the calling one.

        Returns
        -------
        bool
        """
        if self.shares_free_slots(gateways):
            return True
        return len(self._urgency_levels.get(service, ())) > 1

    def shares_free_slots(self, gateways):
        """
        Return whether gateways take turns at free slots.

        With few gateways, each of them frees enough slots itself, and an unused turn
        costs more than a slot that is assigned twice.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the servers, including the calling one.

        Returns
        -------
        bool
        """
        return gateways >= self._contended_from

    def urgency_levels(self, service):
        """
        List the urgency levels that streaming requests for a service can have.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of int
            Most urgent (lowest value) first; see `gooseberryyoke.routing.urgency`.
        """
        return self._urgency_levels.get(service, [])
