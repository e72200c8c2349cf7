"""Prints the policies against their baselines; run with ``python -m``."""

from argparse import ArgumentParser
from json import dumps
from multiprocessing import Pool
from pathlib import Path
from statistics import mean

from gooseberryyoke.balance import POLICIES
from tools.bench.policy_case import Options
from tools.bench.policy_cost import SIZES, cost_us
from tools.bench.policy_failures import attempts_while_all_fail
from tools.bench.policy_figures import run
from tools.bench.policy_load import AUSTRAL, CELINS

__all__ = ["main"]

SAVED = Path("docs/figures/policy.json")
LOADS = (CELINS, AUSTRAL)
SEEDS = (1, 2, 3)
CHOSEN = "least-cost"
BASELINE = "power-of-two"
PROCESSES = 2
FIGURES = (
    "in_time",
    "in_time_others",
    "first_token_p50_s",
    "first_token_p95_s",
    "first_token_p99_s",
    "hit_share",
    "late_share",
    "goodput_tokens_s",
    "attempts_per_request",
)


def cases():
    """
    List the cases.

    Returns
    -------
    dict
        Options without load and seed, by section and label.
    """
    sections = {
        "policies": _policies(),
        "past saturation": _past_saturation(),
        "largest account x10 at 70%": _flood(),
        "hedging": _hedging(),
        "faults at 70%": _faults(),
        "cache moved at 90%": _cache_moved(),
    }
    return {
        (section, label): case
        for section, found in sections.items()
        for label, case in found.items()
    }


def _policies():
    return {
        f"{part:.0%}, {policy}": {"policy": policy, "part": part}
        for part in (0.7, 0.9, 1.2)
        for policy in sorted(POLICIES)
    }


def _past_saturation():
    return {
        f"{part:.0%}, {label}": {"part": part, "admission": label == "admission"}
        for part in (1.0, 1.5, 2.0, 3.0)
        for label in ("admission", "no admission")
    }


def _flood():
    flood = {"part": 0.7, "flood": 10.0}
    one_entry = {**flood, "flood_entry": 0}
    return {
        "as usual": {"part": 0.7},
        "x10": flood,
        "x10, no shares": {**flood, "shares": False},
        "x10 by one entry": one_entry,
        "x10 by one entry, no usage told": {**one_entry, "tell_usage": False},
    }


def _hedging():
    return {f"{part:.0%}, hedged": {"part": part, "hedge": True} for part in (0.7, 0.9)}


def _faults():
    faults = {
        "no reports from 30 s": {"stop_reports_at_s": 30.0},
        "straggler from 45 s": {"straggler_from_s": 45.0},
    }
    return {
        f"{label}, {policy}": {"part": 0.7, "policy": policy, **fault}
        for policy in (CHOSEN, BASELINE, "least-outstanding")
        for label, fault in faults.items()
    }


def _cache_moved():
    return {
        f"{rate} tokens/s": {"part": 0.9, "move_tokens_per_s": rate}
        for rate in (7_500, 75_000)
    }


def main():
    """Run all cases, print the tables, and save them if asked to."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--save", action="store_true", help=f"write {SAVED}")
    parser.add_argument("--quick", action="store_true", help="one seed only")
    args = parser.parse_args()
    seeds = SEEDS[:1] if args.quick else SEEDS
    tables = _play(seeds)
    _print(tables)
    attempts = [attempts_while_all_fail(seed) for seed in seeds]
    print(f"\nattempts per request, all servers fail: {mean(attempts):.3f}")
    costs = {
        policy: {servers: cost_us(policy, servers, 1) for servers in SIZES}
        for policy in (CHOSEN, BASELINE, "least-outstanding")
    }
    _print_costs(costs)
    if args.save:
        saved = {
            "seeds": seeds,
            "tables": tables,
            "attempts_all_fail": attempts,
            "decision_us": costs,
        }
        SAVED.parent.mkdir(parents=True, exist_ok=True)
        SAVED.write_text(dumps(saved, indent=1) + "\n")


def _play(seeds):
    jobs = [
        (section, label, load.name, _options(load, seed, case))
        for (section, label), case in cases().items()
        for load in LOADS
        for seed in seeds
    ]
    with Pool(PROCESSES) as pool:
        results = pool.map(run, [job[-1] for job in jobs], chunksize=1)
    grouped = {}
    for (section, label, load, _), result in zip(jobs, results, strict=True):
        rows = grouped.setdefault(section, {})
        rows.setdefault(f"{load}, {label}", []).append(_flat(result))
    return {
        section: {label: _means(found) for label, found in rows.items()}
        for section, rows in grouped.items()
    }


def _options(load, seed, case):
    return Options(load=load, seed=seed, **{"policy": CHOSEN, **case})


def _flat(result):
    percentiles = {
        f"first_token_{name}_s": value
        for name, value in result["first_token_s"].items()
    }
    by_class = {
        f"in_time_{name}": value for name, value in result["in_time_by_class"].items()
    }
    return {**result, **percentiles, **by_class}


def _means(results):
    names = [
        name
        for name, value in results[0].items()
        if isinstance(value, int | float) and name != "requests"
    ]
    return {name: round(mean(r[name] for r in results), 4) for name in names}


def _print(tables):
    for section, rows in tables.items():
        print(f"\n{section}")
        print(f"{'':48}" + "".join(f"{_short(name):>10}" for name in FIGURES))
        for label, figures in rows.items():
            values = "".join(f"{figures[name]:10.3f}" for name in FIGURES)
            print(f"{label:48}{values}")


def _short(name):
    return name.replace("first_token_", "ft_").replace("_others", "_oth")[:9]


def _print_costs(costs):
    print("\nmicroseconds for a decision, by servers; slope by server")
    for policy, by_size in costs.items():
        values = "".join(f"{servers}: {us:7.1f}   " for servers, us in by_size.items())
        few, many = min(by_size), max(by_size)
        slope = (by_size[many] - by_size[few]) / (many - few)
        print(f"{policy:20}{values}{slope:.3f} a server")


if __name__ == "__main__":
    main()
