"""Compares ways to share the free slots of engines among gateways."""

import click

from tools.bench.place_sharing_replay import Fault, Replay
from tools.bench.place_sharing_ways import WAYS

__all__ = ["compare", "main"]

_GATEWAYS = (4, 13, 39, 47)


def compare(gateways, seeds, ways=tuple(WAYS), lost=0.0):
    """
    Replay each way.

    Parameters
    ----------
    gateways : int
    seeds : iterable of int
    ways : iterable of str, optional
    lost : float
        Part of the datagrams that don't arrive.

    Yields
    ------
    str, list of Result
        The way, and its result for each seed.
    """
    for way in ways:
        yield way, [Replay(gateways, way, seed, Fault(lost)).run() for seed in seeds]


def _mean(results, name):
    return sum(getattr(result, name) for result in results) / len(results)


@click.command(help=__doc__)
@click.option("--seeds", default=1, show_default=True, help="Runs of each row.")
@click.option("--gateways", multiple=True, type=int, default=_GATEWAYS)
@click.option("--way", "ways", multiple=True, default=tuple(WAYS))
@click.option("--lost", default=0.0, help="Part of the datagrams that don't arrive.")
def main(seeds, gateways, ways, lost):
    """Print a row for each number of gateways and way."""
    columns = "to full | idle slot-s | of it over 0.4 s | value | B/s straight"
    click.echo(f"| gateways | way | {columns} |")
    click.echo("|---|---|---|---|---|---|---|")
    for count in gateways:
        for way, found in compare(count, range(1, seeds + 1), ways, lost):
            click.echo(
                f"| {count} | {way} | {_mean(found, 'full_share'):.3f} "
                f"| {_mean(found, 'idle_s'):.1f} | {_mean(found, 'long_idle_s'):.1f} "
                f"| {_mean(found, 'worth'):.3f} "
                f"| {_mean(found, 'straight_rate') / count:.0f} |"
            )


if __name__ == "__main__":
    main()
