"""Default policy: selects the server where the request costs the least time."""

from gooseberryyoke.balance.policy import Policy, register
from gooseberryyoke.balance.prediction import predict, score

__all__ = ["LeastCost"]

MAX_SCORED = 16
NEAR_BEST_TOLERANCE = 0.02


@register
class LeastCost(Policy):
    """
    Policy that minimises the time a request costs itself and other requests.

    It scores a bounded sample of servers, most of them from the entry's own data
    centre, plus the servers that hold the longest prefixes, so that the cost of
    a choice does not grow with the size of the fleet.
    """

    name = "least-cost"

    def pick(self, fleet, pool, usable, demand, now, rng):
        """Pick a server at random among those with nearly the lowest cost."""
        blocks = fleet.prefixes.matches(demand.prefix_digests)
        views = self._candidates(fleet, pool, blocks, usable, rng)
        mean_tokens = pool.mean_tokens or demand.expected_tokens
        scores = [
            score(
                view,
                demand,
                mean_tokens,
                now,
                view.data_centre == fleet.data_centre,
                blocks.get(view.server_id, 0),
            )
            for view in views
        ]
        if not scores:
            return None
        # Entries that read the same report would all pick the same server; a random
        # choice among nearly equal servers spreads their requests.
        limit_s = min(scores) * (1 + NEAR_BEST_TOLERANCE)
        near_best = [
            v for v, cost_s in zip(views, scores, strict=True) if cost_s <= limit_s
        ]
        view = rng.choice(near_best)
        near = view.data_centre == fleet.data_centre
        cached_blocks = blocks.get(view.server_id, 0)
        return predict(view, demand, mean_tokens, now, near, cached_blocks)

    def _candidates(self, fleet, pool, blocks, usable, rng):
        views = pool.sample(fleet.data_centre, MAX_SCORED, rng)
        drawn = {view.server_id: view for view in views}
        for server_id in blocks:
            holder = pool.get(server_id)
            if holder is not None:
                drawn[server_id] = holder
        candidates = [view for view in drawn.values() if usable(view)]
        if candidates or len(pool) <= MAX_SCORED:
            return candidates
        return [view for view in pool if usable(view)]
