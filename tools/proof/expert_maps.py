"""Search longer for a step that runs on two expert maps than the tests do."""

import random
import sys
import time

import click

from gooseberryyoke.expert.tests.faulty_parts import FAULTY_PARTS
from gooseberryyoke.expert.tests.group_search import GroupSearch, loaded_group
from gooseberryyoke.expert.tests.group_walk import walk

GROUPS = [
    {"targets": ["second"], "restarts": 1},
    {"targets": ["second", "third"], "restarts": 1},
    {"targets": ["second", None], "restarts": 2},
    {"targets": ["second", "third", None], "restarts": 2, "rank_count": 3},
]
SEARCHES = [
    {"targets": ["second"], "last_step": 4},
    {"targets": ["second"], "last_step": 2, "restarts": 1},
    {"targets": ["second", None], "last_step": 2},
    {"targets": ["second", "third"], "last_step": 2},
    {"targets": ["second", None], "last_step": 2, "restarts": 1},
]
LAST_STEP = 8


def faults(first_seed, count, **parts):
    """
    Walk with a range of seeds.

    Returns
    -------
    list of (int, str)
        Seed and message of each walk that failed.
    """
    found = []
    for seed in range(first_seed, first_seed + count):
        group = GROUPS[seed % len(GROUPS)]
        try:
            walk(random.Random(seed), last_step=LAST_STEP, **group, **parts)
        except AssertionError as exc:
            found.append((seed, str(exc)[:80]))
    return found


def search(limit):
    """Search exhaustively up to a number of states for each small group."""
    for group in SEARCHES:
        start = time.perf_counter()
        finder = GroupSearch(loaded_group(**group))
        extent = "all" if finder.run(limit) else "first"
        spent_s = time.perf_counter() - start
        print(f"search {group}: {extent} {finder.visited} states, {spent_s:.0f} s")


@click.command()
@click.option("--seed", default=0, show_default=True, help="First seed.")
@click.option("--walks", default=4000, show_default=True)
@click.option(
    "--states", default=2_000_000, show_default=True, help="Limit per search."
)
@click.option("--careless", is_flag=True, help="Also without each safeguard.")
def main(seed, walks, states, careless):
    """Walk and search; ends with status 1 on a fault of the real parts."""
    found = faults(seed, walks)
    print(f"walks from seed {seed}: {walks}, faults {len(found)} {found[:3]}")
    if careless:
        for name, parts in FAULTY_PARTS.items():
            without = faults(seed, walks, **parts)
            print(f"{name}: faults {len(without)} {without[:1]}")
    search(states)
    sys.exit(bool(found))


if __name__ == "__main__":
    main()
