"""What it costs to settle departures: ``python -m tools.bench.departures``."""

from statistics import mean
from time import perf_counter

import click
import orjson
import trio

from gooseberryyoke.membership.departure import Departure
from gooseberryyoke.membership.departure_list import DepartureList
from gooseberryyoke.membership.server_registry import ServerState
from gooseberryyoke_daemon.testing.control_deployment import run_controls

__all__ = ["main"]

_CONTROLS = (3, 5, 11)
_LEAVING = (1, 10, 100)
_CALL_S = 0.001
"""Time of a control process for each call, one after the other."""
_LISTED = (10, 100, 2300)
_ROUNDS = 20
_SETTLE_S = 3.0


def _departure(number):
    return Departure(f"i-{number:08x}", 1_790_000_000_000, 40, ServerState.GONE)


async def _leave_at_once(deployment, controls, leaving):
    """Give the times to each acknowledgement, in ms, and the calls meanwhile."""
    after_ms = []

    async def leave(number):
        node = deployment.running[1 + number % controls].node
        asked_s = trio.current_time()
        departure = _departure(number)
        node.hear_departures([departure])
        if not await node.settle(departure):
            raise click.ClickException(f"departure {number} was not settled")
        after_ms.append(1000 * (trio.current_time() - asked_s))

    before = _calls(deployment)
    async with trio.open_nursery() as nursery:
        for number in range(leaving):
            nursery.start_soon(leave, number)
    return after_ms, _calls(deployment) - before


def _calls(deployment):
    return sum(control.calls for control in deployment.running.values())


def _measure_acks(controls, leaving):
    async def main(deployment):
        for number in range(1, controls + 1):
            await deployment.start(number, founding=True, seats=min(controls, 5))
        await deployment.until_ready(1, 2, 3)
        await trio.sleep(_SETTLE_S)
        after_ms, calls = await _leave_at_once(deployment, controls, leaving)
        click.echo(
            f"| {controls} | {leaving} | {mean(after_ms):.0f} ({min(after_ms):.0f} to "
            f"{max(after_ms):.0f}) | {calls} |"
        )

    run_controls(main, call_s=_CALL_S)


def _measure_list(listed):
    departures = [_departure(number) for number in range(listed)]
    packed = DepartureList().add(departures, 1_790_000_000_000).to_json()
    times_ms = []
    for _ in range(_ROUNDS):
        began_s = perf_counter()
        found = DepartureList.from_json(packed, click.echo)
        found.add((), 1_790_000_001_000)
        times_ms.append(1000 * (perf_counter() - began_s))
    size = len(orjson.dumps(packed))
    click.echo(f"| {listed} | {size} | {sorted(times_ms)[_ROUNDS // 2]:.2f} |")


@click.command()
def main():
    """Print both tables."""
    click.echo("| control processes | leave at once | ack, ms (mean, span) | calls |")
    for controls in _CONTROLS:
        for leaving in _LEAVING:
            _measure_acks(controls, leaving)
    click.echo("| listed | bytes | read and merged, ms |")
    for listed in _LISTED:
        _measure_list(listed)


if __name__ == "__main__":
    main()
