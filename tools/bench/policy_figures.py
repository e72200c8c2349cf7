"""The figures of one run."""

from tools.bench.policy_run import SETTLE_S, Run

__all__ = ["run"]


def run(options):
    """
    Play one load to its end.

    Parameters
    ----------
    options : Options

    Returns
    -------
    dict
        Figures of the run, by name.
    """
    played = Run(options).play()
    counted = [o for o in played.outcomes if o.at_s >= SETTLE_S]
    spell_s = options.duration_s - SETTLE_S
    first = sorted(o.first_token_s for o in counted if o.first_token_s is not None)
    others = [o for o in counted if o.account != "account-0"]
    engines = played.engines.values()
    reasons = {}
    for outcome in counted:
        if outcome.refused:
            whose = "largest" if outcome.account == "account-0" else "others"
            key = f"{outcome.refused} ({whose})"
            reasons[key] = reasons.get(key, 0) + 1
    kinds = sorted({o.kind for o in counted})
    return {
        "requests": len(counted),
        "in_time": _share(o.in_time for o in counted),
        "in_time_others": _share(o.in_time for o in others),
        "in_time_by_class": {
            kind: _share(o.in_time for o in counted if o.kind == kind) for kind in kinds
        },
        "goodput_tokens_s": sum(o.tokens for o in counted if o.in_time) / spell_s,
        "first_token_s": {f"p{p}": _quantile(first, p / 100) for p in (50, 95, 99)},
        "hit_share": sum(e.hit_tokens for e in engines)
        / max(1, sum(e.prompt_tokens for e in engines)),
        "late_share": _share(not o.in_time and o.refused is None for o in counted),
        "refused": reasons,
        "attempts_per_request": sum(o.attempts for o in counted)
        / max(1, sum(o.refused is None for o in counted)),
    }


def _share(flags):
    flags = list(flags)
    return sum(flags) / len(flags) if flags else 0.0


def _quantile(values, part):
    return values[min(len(values) - 1, int(part * len(values)))] if values else None
