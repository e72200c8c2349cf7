"""What one entry knows of all backend servers."""

from gooseberryyoke.balance.crowd import Crowd
from gooseberryyoke.balance.pool import Pool
from gooseberryyoke.balance.prefix import PrefixIndex
from gooseberryyoke.balance.sent import Sent
from gooseberryyoke.balance.view import ServerView

__all__ = ["Fleet"]


class Fleet:
    """
    What one entry knows of all backend servers.

    Parameters
    ----------
    data_centre : str
        The entry's own data centre.
    prefixes : PrefixIndex, optional
        Beliefs on prefix caches; a new index by default.

    Notes
    -----
    Times are seconds on one clock of the entry, passed in as ``now``.
    """

    __slots__ = ("data_centre", "prefixes", "_views", "_pools", "_closed", "_crowds")

    def __init__(self, data_centre, prefixes=None):
        self.data_centre = data_centre
        self.prefixes = PrefixIndex() if prefixes is None else prefixes
        self._views = {}
        self._pools = {}
        self._closed = {}
        self._crowds = {}

    def __len__(self):
        return len(self._views)

    def __iter__(self):
        return iter(self._views.values())

    def get(self, server_id):
        """
        Look up a server.

        Parameters
        ----------
        server_id : str

        Returns
        -------
        ServerView or None
        """
        return self._views.get(server_id)

    def pool(self, service, model):
        """
        Find the servers that are open for a service and model.

        Parameters
        ----------
        service : str
        model : str or None

        Returns
        -------
        Pool
            Empty if nobody has announced the model.
        """
        return self._pools.get((service, model)) or _EMPTY

    def closed(self, service, model):
        """
        Find the servers for a service and model that are leaving or cold.

        Parameters
        ----------
        service : str
        model : str or None

        Returns
        -------
        Pool
        """
        return self._closed.get((service, model)) or _EMPTY

    def announced(
        self,
        server_id,
        incarnation,
        data_centre,
        service,
        models=(),
        leaving=False,
        cold=False,
    ):
        """
        Take a server's announcement.

        Parameters
        ----------
        server_id : str
        incarnation : str or int
            A changed incarnation starts with an empty view: its queue and its
            cache are gone.
        data_centre : str
        service : str
        models : iterable of str
            Loaded models; empty for a plain service.
        leaving, cold : bool
        """
        view = self._views.get(server_id)
        if view is not None:
            self._take_out(view)
        if view is None or view.incarnation != incarnation:
            self.prefixes.forget(server_id)
            crowd = self._crowds.setdefault(service, Crowd())
            view = ServerView(server_id, incarnation, data_centre, service, crowd=crowd)
            self._views[server_id] = view
        view.data_centre = data_centre
        view.service = service
        view.models = frozenset(models)
        view.leaving = leaving
        view.cold = cold
        self._put_in(view)

    def left(self, server_id):
        """
        Note at once that a server is leaving, as its agent's refusal says.

        Parameters
        ----------
        server_id : str
        """
        view = self._views.get(server_id)
        if view is not None and not view.leaving:
            self._take_out(view)
            view.leaving = True
            self._put_in(view)

    def paused(self, server_id, until_s):
        """
        Note that a server wants nothing for a while, as its agent's refusal says.

        Parameters
        ----------
        server_id : str
        until_s : float
            A pause that ends before an earlier one changes nothing.
        """
        view = self._views.get(server_id)
        if view is not None:
            view.paused_until_s = max(view.paused_until_s, until_s)

    def removed(self, server_id):
        """
        Forget a server.

        Parameters
        ----------
        server_id : str
        """
        view = self._views.pop(server_id, None)
        if view is not None:
            self._take_out(view)
            self.prefixes.forget(server_id)

    def reported(self, server_id, report, now):
        """
        Take a load report.

        Parameters
        ----------
        server_id : str
        report : LoadReport
        now : float

        Returns
        -------
        bool
            False if the server is unknown or a newer report came before.
        """
        view = self._views.get(server_id)
        return view is not None and view.take_report(report, now)

    def dispatched(self, server_id, attempt_id, demand, now, cached_tokens=0):
        """
        Note an own attempt, before the next choice.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        demand : Demand
        now : float
        cached_tokens : int
            As the choice tells.
        """
        view = self._views.get(server_id)
        if view is None:
            return
        awaited_tokens = max(0, demand.prompt_tokens - cached_tokens)
        view.sent(attempt_id, Sent(now, demand, awaited_tokens))
        pool = self._pools.get((demand.service, demand.model))
        if pool is not None:
            pool.learn(demand.expected_tokens)
        self.prefixes.stored(server_id, demand.prefix_digests)

    def first_token(self, server_id, attempt_id, now):
        """
        Note the first token of an own attempt.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        now : float
        """
        view = self._views.get(server_id)
        sent = view.started(attempt_id) if view is not None else None
        if sent is not None:
            # Events may be lost for good; but now the whole prompt is cached.
            self.prefixes.stored(server_id, sent.demand.prefix_digests)

    def finished(self, server_id, attempt_id, now):
        """
        Note the end of an own attempt that was answered or cancelled.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        now : float
        """
        view = self._views.get(server_id)
        if view is not None:
            view.ended(attempt_id, now)

    def failed(self, server_id, attempt_id, now):
        """
        Note that an own attempt failed for a reason on the server's side.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        now : float
        """
        view = self._views.get(server_id)
        if view is None:
            return
        sent = view.ended(attempt_id, now)
        view.failed(now)
        if sent is not None:
            self.prefixes.evicted(server_id, sent.demand.prefix_digests)

    def _put_in(self, view):
        pools = self._closed if view.leaving or view.cold else self._pools
        for key in _keys(view):
            pools.setdefault(key, Pool()).add(view)

    def _take_out(self, view):
        for key in _keys(view):
            for pools in (self._pools, self._closed):
                if key in pools:
                    pools[key].discard(view.server_id)


_EMPTY = Pool()


def _keys(view):
    return [(view.service, model) for model in view.models or (None,)]
