"""State of all backend servers as seen by one entry."""

from gooseberryyoke.balance.load_ratio import LoadRatio
from gooseberryyoke.balance.pool import Pool
from gooseberryyoke.balance.prefix import PrefixIndex
from gooseberryyoke.balance.sent_attempt import SentAttempt
from gooseberryyoke.balance.view import ServerView

__all__ = ["Fleet"]


class Fleet:
    """
    State of all backend servers as seen by one entry.

    Parameters
    ----------
    data_centre : str
        The entry's own data centre.
    prefixes : PrefixIndex, optional
        Index of cached prompt prefixes; a new one by default.

    Notes
    -----
    All times are in seconds on the entry's clock, which is passed in as ``now``.
    Own attempts are the attempts that this entry has sent to a server.
    """

    __slots__ = (
        "data_centre",
        "prefixes",
        "_views",
        "_pools",
        "_inactive_pools",
        "_load_ratios",
    )

    def __init__(self, data_centre, prefixes=None):
        self.data_centre = data_centre
        self.prefixes = PrefixIndex() if prefixes is None else prefixes
        self._views = {}
        self._pools = {}
        self._inactive_pools = {}
        self._load_ratios = {}

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
        Return the active servers for a service and model.

        Parameters
        ----------
        service : str
        model : str or None

        Returns
        -------
        Pool
            Empty if no server has announced the model.
        """
        return self._pools.get((service, model)) or _EMPTY_POOL

    def inactive(self, service, model):
        """
        Return the servers for a service and model that are leaving or cold.

        Parameters
        ----------
        service : str
        model : str or None

        Returns
        -------
        Pool
        """
        return self._inactive_pools.get((service, model)) or _EMPTY_POOL

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
        Apply a server's announcement.

        Parameters
        ----------
        server_id : str
        incarnation : str or int
            Changes whenever the server or its agent restarts. A new incarnation
            starts with an empty view because the queue and the cache of the
            previous one are lost.
        data_centre : str
        service : str
        models : iterable of str
            Loaded models; empty for a plain service.
        leaving : bool
            Whether the server is leaving and accepts no new work.
        cold : bool
            Whether the server is still loading or warming up.
        """
        view = self._views.get(server_id)
        if view is not None:
            self._remove_from_pools(view)
        if view is None or view.incarnation != incarnation:
            self.prefixes.forget(server_id)
            load_ratio = self._load_ratios.setdefault(service, LoadRatio())
            view = ServerView(
                server_id, incarnation, data_centre, service, load_ratio=load_ratio
            )
            self._views[server_id] = view
        view.data_centre = data_centre
        view.service = service
        view.models = frozenset(models)
        view.leaving = leaving
        view.cold = cold
        self._add_to_pools(view)

    def mark_leaving(self, server_id):
        """
        Mark a server as leaving when its agent's refusal says so.

        This takes effect before the server's announcement arrives.

        Parameters
        ----------
        server_id : str
        """
        view = self._views.get(server_id)
        if view is not None and not view.leaving:
            self._remove_from_pools(view)
            view.leaving = True
            self._add_to_pools(view)

    def paused(self, server_id, until_s):
        """
        Record a pause that a server asked for in its agent's refusal.

        Parameters
        ----------
        server_id : str
        until_s : float
            End of the pause. A pause never shortens an earlier one.
        """
        view = self._views.get(server_id)
        if view is not None:
            view.paused_until_s = max(view.paused_until_s, until_s)

    def removed(self, server_id):
        """
        Remove a server and its cached prefixes.

        Parameters
        ----------
        server_id : str
        """
        view = self._views.pop(server_id, None)
        if view is not None:
            self._remove_from_pools(view)
            self.prefixes.forget(server_id)

    def reported(self, server_id, report, now):
        """
        Apply a load report.

        Parameters
        ----------
        server_id : str
        report : LoadReport
        now : float

        Returns
        -------
        bool
            False if the server is unknown or if this report or a newer one was
            applied already.
        """
        view = self._views.get(server_id)
        return view is not None and view.take_report(report, now)

    def dispatched(self, server_id, attempt_id, demand, now, cached_tokens=0):
        """
        Record that an own attempt was sent; to be called before the next choice.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        demand : Demand
        now : float
        cached_tokens : int
            Cached prompt tokens according to the `Choice`.
        """
        view = self._views.get(server_id)
        if view is None:
            return
        pending_prefill_tokens = max(0, demand.prompt_tokens - cached_tokens)
        view.sent(attempt_id, SentAttempt(now, demand, pending_prefill_tokens))
        pool = self._pools.get((demand.service, demand.model))
        if pool is not None:
            pool.observe(demand.expected_tokens)
        self.prefixes.stored(server_id, demand.prefix_digests)

    def first_token(self, server_id, attempt_id, now):
        """
        Record the first token of an own attempt.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        now : float
        """
        view = self._views.get(server_id)
        attempt = view.started(attempt_id) if view is not None else None
        if attempt is not None:
            # Cache events may be lost, but after the first token the whole prompt is
            # certainly cached.
            self.prefixes.stored(server_id, attempt.demand.prefix_digests)

    def finished(self, server_id, attempt_id, now):
        """
        Record the end of an own attempt that was answered or cancelled.

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
        Record that an own attempt failed because of the server.

        Parameters
        ----------
        server_id : str
        attempt_id : hashable
        now : float
        """
        view = self._views.get(server_id)
        if view is None:
            return
        attempt = view.ended(attempt_id, now)
        view.failed(now)
        if attempt is not None:
            self.prefixes.evicted(server_id, attempt.demand.prefix_digests)

    def _add_to_pools(self, view):
        pools = self._inactive_pools if view.leaving or view.cold else self._pools
        for key in _pool_keys(view):
            pools.setdefault(key, Pool()).add(view)

    def _remove_from_pools(self, view):
        for key in _pool_keys(view):
            for pools in (self._pools, self._inactive_pools):
                if key in pools:
                    pools[key].discard(view.server_id)


_EMPTY_POOL = Pool()


def _pool_keys(view):
    return [(view.service, model) for model in view.models or (None,)]
