"""The policy in use: the server that should finish the answer first."""

from gooseberryyoke.balance.policy import Policy, register
from gooseberryyoke.balance.prediction import predict

__all__ = ["EarliestFinish"]

SCORED_AT_MOST = 16
NEAR_BEST = 0.02


@register
class EarliestFinish(Policy):
    """
    The server that should finish the answer first.

    Scores a bounded sample of servers, most of them from the entry's own data
    centre, and the servers that hold the longest prefixes, so that the cost
    of a choice does not grow with the fleet.
    """

    name = "earliest-finish"

    def pick(self, fleet, pool, usable, demand, now, rng):
        """Pick the server with the earliest predicted finish."""
        blocks = fleet.prefixes.matches(demand.prefix_digests)
        views = self._candidates(fleet, pool, blocks, usable, rng)
        mean_tokens = pool.mean_tokens or demand.expected_tokens
        choices = [
            predict(
                view,
                demand,
                mean_tokens,
                now,
                view.data_centre == fleet.data_centre,
                blocks.get(view.server_id, 0),
            )
            for view in views
        ]
        if not choices:
            return None
        best_s = min(choice.predicted_finish_s for choice in choices)
        # Entries that read the same report would all pick the same server:
        # a draw among near equals spreads them.
        limit_s = best_s * (1 + NEAR_BEST)
        return rng.choice([c for c in choices if c.predicted_finish_s <= limit_s])

    def _candidates(self, fleet, pool, blocks, usable, rng):
        views = pool.sample(fleet.data_centre, SCORED_AT_MOST, rng)
        drawn = {view.server_id: view for view in views}
        for server_id in blocks:
            holder = pool.get(server_id)
            if holder is not None:
                drawn[server_id] = holder
        found = [view for view in drawn.values() if usable(view)]
        if found or len(pool) <= SCORED_AT_MOST:
            return found
        return [view for view in pool if usable(view)]
