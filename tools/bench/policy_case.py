"""What one run is to be, and what becomes of its requests."""

__all__ = ["Job", "Options", "Outcome"]


class Options:
    """What one run is to be: load, policy and what is switched on."""

    __slots__ = (
        "load",
        "policy",
        "part",
        "seed",
        "duration_s",
        "admission",
        "shares",
        "flood",
        "flood_entry",
        "hedge",
        "stop_reports_at_s",
        "tell_usage",
        "straggler_from_s",
        "move_tokens_per_s",
    )

    def __init__(
        self,
        load,
        policy,
        part,
        seed,
        duration_s=90.0,
        admission=True,
        shares=True,
        flood=1.0,
        flood_entry=None,
        hedge=False,
        stop_reports_at_s=float("inf"),
        tell_usage=True,
        straggler_from_s=0.0,
        move_tokens_per_s=None,
    ):
        self.load = load
        self.policy = policy
        self.part = part
        self.seed = seed
        self.duration_s = duration_s
        self.admission = admission
        self.shares = shares
        self.flood = flood
        self.flood_entry = flood_entry
        self.hedge = hedge
        self.stop_reports_at_s = stop_reports_at_s
        self.tell_usage = tell_usage
        self.straggler_from_s = straggler_from_s
        self.move_tokens_per_s = move_tokens_per_s


class Outcome:
    """What became of one request."""

    __slots__ = (
        "account",
        "kind",
        "at_s",
        "refused",
        "first_token_s",
        "in_time",
        "tokens",
        "attempts",
        "predicted_s",
    )

    def __init__(self, arrival):
        self.account = arrival.account
        self.kind = arrival.kind.name
        self.at_s = arrival.at_s
        self.refused = None
        self.first_token_s = None
        self.in_time = False
        self.tokens = arrival.answer_tokens
        self.attempts = 0
        self.predicted_s = None


class Job:
    """One attempt of a request, at one engine."""

    __slots__ = (
        "attempt_id",
        "entry",
        "engine",
        "demand",
        "answer_tokens",
        "ticket",
        "outcome",
        "cached_tokens",
        "twins",
        "delay_s",
        "started",
    )
