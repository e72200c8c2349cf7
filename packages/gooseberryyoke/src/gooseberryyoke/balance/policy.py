"""Policies for the choice of a server, by name, and the plain ones."""

from gooseberryyoke.balance.prediction import predict

__all__ = ["POLICIES", "Policy", "register"]

POLICIES = {}
"""Policy instances by name."""


def register(cls):
    """
    Add a policy class to `POLICIES`.

    Parameters
    ----------
    cls : type
        Subclass of `Policy` with a ``name``.

    Returns
    -------
    type
        The class itself.
    """
    POLICIES[cls.name] = cls()
    return cls


class Policy:
    """Choice among the servers that are open for a request."""

    name = None

    def pick(self, fleet, pool, usable, demand, now, rng):
        """
        Pick a server.

        Parameters
        ----------
        fleet : Fleet
        pool : Pool
            All servers of the service and model that are open.
        usable : callable
            Whether a view may be picked.
        demand : Demand
        now : float
            Time in seconds.
        rng : random.Random

        Returns
        -------
        Choice or None
            None if no server is usable.
        """
        views = [view for view in pool if usable(view)]
        if not views:
            return None
        view = self.select(pool, views, rng)
        near = view.data_centre == fleet.data_centre
        mean_tokens = pool.mean_tokens or demand.expected_tokens
        blocks = fleet.prefixes.matches(demand.prefix_digests).get(view.server_id, 0)
        return predict(view, demand, mean_tokens, now, near, blocks)

    def select(self, pool, views, rng):
        """
        Select one of the usable views.

        Parameters
        ----------
        pool : Pool
        views : list of ServerView
            At least one.
        rng : random.Random

        Returns
        -------
        ServerView
        """
        raise NotImplementedError


@register
class RandomChoice(Policy):
    """Any server with the same chance."""

    name = "random"

    def select(self, pool, views, rng):
        """Select any view."""
        return rng.choice(views)


@register
class RoundRobin(Policy):
    """One server after the other."""

    name = "round-robin"

    def select(self, pool, views, rng):
        """Select the next view in turn."""
        pool.next_turn += 1
        return views[pool.next_turn % len(views)]


@register
class LeastOutstanding(Policy):
    """The server with the fewest own requests in flight."""

    name = "least-outstanding"

    def select(self, pool, views, rng):
        """Select the view with the fewest own requests in flight."""
        return min(views, key=lambda view: (len(view.in_flight), rng.random()))


@register
class PowerOfTwo(Policy):
    """The better of two servers drawn at random."""

    name = "power-of-two"

    def select(self, pool, views, rng):
        """Select the view with fewer own requests of two."""
        return min(rng.choice(views), rng.choice(views), key=_own_in_flight)


@register
class LeastReported(Policy):
    """The server whose newest report shows the fewest requests."""

    name = "least-reported"

    def select(self, pool, views, rng):
        """Select by the reports as they stand."""
        return min(views, key=lambda view: (_reported(view), rng.random()))


def _own_in_flight(view):
    return len(view.in_flight)


def _reported(view):
    return 0 if view.report is None else view.report.running + view.report.queued
