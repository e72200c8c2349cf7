"""Registry of server selection policies, and the basic policies."""

from gooseberryyoke.balance.prediction import predict

__all__ = ["POLICIES", "Policy", "register"]

POLICIES = {}
"""Registered policy instances by name."""


def register(cls):
    """
    Add a policy class to `POLICIES`.

    Parameters
    ----------
    cls : type
        Subclass of `Policy` that defines ``name``.

    Returns
    -------
    type
        The class, unchanged.
    """
    POLICIES[cls.name] = cls()
    return cls


class Policy:
    """Base class of policies that select one of the available servers."""

    name = None

    def pick(self, fleet, pool, usable, demand, now, rng):
        """
        Pick a server.

        Parameters
        ----------
        fleet : Fleet
        pool : Pool
            Servers to choose from.
        usable : callable
            Predicate that tells whether a `ServerView` may be picked.
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
        Select one of the usable servers.

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
    """Policy that selects a server uniformly at random."""

    name = "random"

    def select(self, pool, views, rng):
        """Select a random server."""
        return rng.choice(views)


@register
class RoundRobin(Policy):
    """Policy that selects the servers in turn."""

    name = "round-robin"

    def select(self, pool, views, rng):
        """Select the next server in turn."""
        pool.next_turn += 1
        return views[pool.next_turn % len(views)]


@register
class LeastOutstanding(Policy):
    """
    Policy that selects the server with the fewest own attempts in flight.

    Own attempts are the attempts that the entry itself has sent; see `ServerView`.
    """

    name = "least-outstanding"

    def select(self, pool, views, rng):
        """Select the server with the fewest own attempts in flight."""
        return min(views, key=lambda view: (len(view.in_flight), rng.random()))


@register
class PowerOfTwo(Policy):
    """Policy that selects the less loaded of two servers drawn at random."""

    name = "power-of-two"

    def select(self, pool, views, rng):
        """Select the one of two random servers with fewer own attempts in flight."""
        return min(rng.choice(views), rng.choice(views), key=_own_in_flight)


@register
class LeastReported(Policy):
    """Policy that selects the server with the fewest requests in its latest report."""

    name = "least-reported"

    def select(self, pool, views, rng):
        """Select by the latest reports, without correction for own attempts."""
        return min(views, key=lambda view: (_reported(view), rng.random()))


def _own_in_flight(view):
    return len(view.in_flight)


def _reported(view):
    return 0 if view.report is None else view.report.running + view.report.queued
