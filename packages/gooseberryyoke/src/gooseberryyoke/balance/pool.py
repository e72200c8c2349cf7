"""Pool of backend servers for one service and model."""

__all__ = ["Pool"]


class Pool:
    """
    Pool of backend servers for one service and model, indexed by data centre.

    Attributes
    ----------
    mean_tokens : float or None
        Exponential moving average of the expected answer length of the pool's
        requests, in tokens; None before the first request.
    next_turn : int
        Counter of the round-robin policy; increases with each selection.
    """

    __slots__ = ("_views", "_by_data_centre", "mean_tokens", "next_turn")

    _MEAN_WEIGHT = 0.02

    def __init__(self):
        self._views = {}
        self._by_data_centre = {}
        self.mean_tokens = None
        self.next_turn = 0

    def __len__(self):
        return len(self._views)

    def __iter__(self):
        return iter(self._views.values())

    def add(self, view):
        """
        Add a server or replace its view.

        Parameters
        ----------
        view : ServerView
        """
        self.discard(view.server_id)
        self._views[view.server_id] = view
        self._by_data_centre.setdefault(view.data_centre, []).append(view)

    def discard(self, server_id):
        """
        Remove a server if it is in the pool.

        Parameters
        ----------
        server_id : str
        """
        view = self._views.pop(server_id, None)
        if view is not None:
            self._by_data_centre[view.data_centre].remove(view)

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

    def sample(self, data_centre, limit, rng):
        """
        Sample servers, three quarters of them from one data centre if possible.

        Parameters
        ----------
        data_centre : str
            Data centre to prefer.
        limit : int
            Size of the sample; a pool that is not larger is returned whole.
        rng : random.Random

        Returns
        -------
        list of ServerView
        """
        if len(self._views) <= limit:
            return list(self._views.values())
        local = self._by_data_centre.get(data_centre, [])
        near = _draw(local, limit - limit // 4, rng)
        drawn = {view.server_id: view for view in near}
        groups = list(self._by_data_centre.values())
        while len(drawn) < limit:
            view = rng.choice(rng.choice(groups) or local or list(self))
            drawn[view.server_id] = view
        return list(drawn.values())

    def observe(self, expected_tokens):
        """
        Update the moving average with the expected answer length of a request.

        Parameters
        ----------
        expected_tokens : int
            Expected length of the answer.
        """
        if self.mean_tokens is None:
            self.mean_tokens = float(expected_tokens)
        self.mean_tokens += self._MEAN_WEIGHT * (expected_tokens - self.mean_tokens)


def _draw(views, count, rng):
    if len(views) <= count:
        return views
    return rng.sample(views, count)
