"""Costs of the quarantine of prompts and requests: time, datagrams and memory."""

import tracemalloc
from time import process_time

import click
import orjson
import trio
import trio.testing

from gooseberryyoke.crash import (
    RequestCrashes,
    Suspects,
    TrialServers,
    shared_parts,
)
from gooseberryyoke_daemon.control import EntryPresence
from gooseberryyoke_daemon.gateway.crash_news import CrashNews

__all__ = [
    "change_bytes",
    "decision_us",
    "main",
    "memory_kb",
    "news_rate",
    "request_memory_kb",
    "request_news_rate",
]

_PART_COUNTS = (3, 64)
"""Shared parts of a prompt."""
_SUSPICIONS = (0, 10, 256)
_REPEATED = (1, 10, 256)
"""Suspicions that are repeated."""
_GATEWAYS = (4, 47, 350)
_DECISIONS = 20_000
_ROUNDS = 5
_CHANGED_PARTS = 3
"""That an end is held against where one request ran, with the harmful part."""
_ENDS = 2
_NEWS_S = 60.0
_PROOFS = 4096
_MOST_SUSPICIONS = 256
_MOST_ENDS = 8
_REQUESTS = (1, 10, 1024)
"""Requests that servers ended under, and are repeated."""
_REQUEST_ENDS = 3
_GREETED_S = 0.2
_HEAD_BYTES = 28
"""Of IP and UDP, for each datagram."""
_MICROSECOND = 1e-6


def _part(number):
    return f"{number:016x}"


def _end(suspects, count, ends=_ENDS):
    for number in range(count):
        for life in range(ends):
            parts = [_part(number)]
            suspects.record_crash(
                f"engine-z-a-{life}/{1_764_800_000_000 + life}", parts, life
            )


def _end_requests(requests, count):
    for number in range(count):
        for life in range(_REQUEST_ENDS):
            incarnation = f"engine-z-a-{life}/{1_764_800_000_000 + life}"
            requests.record_crash(incarnation, f"request:{number:024x}", 0.0)


def decision_us(part_count, suspicion_count, decisions=_DECISIONS):
    """
    Measure reading a request's parts and deciding on them.

    Parameters
    ----------
    part_count : int
        Shared parts of each prompt, half of them suspected if there are as many.
    suspicion_count : int
    decisions : int

    Returns
    -------
    float
        Microseconds of processor time for each request.
    """
    suspects = Suspects("g")
    _end(suspects, suspicion_count)
    held = min(part_count // 2, suspicion_count)
    numbers = [*range(held), *range(1_000_000, 1_000_000 + part_count - held), -1]
    header = ",".join(f"{_part(number % 2**63)}:400" for number in numbers)
    begun_s = process_time()
    for _ in range(decisions):
        suspects.clearance(shared_parts(header), 10.0)
    return (process_time() - begun_s) / decisions / _MICROSECOND


def news_rate(gateway_count, suspicion_count):
    """
    Count what a gateway repeats to others while nothing changes.

    Parameters
    ----------
    gateway_count, suspicion_count : int

    Returns
    -------
    datagrams, byte_count : float
        A second, sent; heads of IP and UDP included.
    """
    suspects = Suspects("gateway-0")
    _end(suspects, suspicion_count)
    return _rate(gateway_count, suspects, RequestCrashes("gateway-0"))


def request_news_rate(gateway_count, request_count):
    """
    Count what a gateway repeats of refused requests while nothing changes.

    Parameters
    ----------
    gateway_count, request_count : int

    Returns
    -------
    datagrams, byte_count : float
        A second, sent; heads of IP and UDP included.
    """
    requests = RequestCrashes("gateway-0")
    _end_requests(requests, request_count)
    return _rate(gateway_count, Suspects("gateway-0"), requests)


def _rate(gateway_count, suspects, requests):
    sent_bytes = _sent_bytes(gateway_count, suspects, requests, [], _NEWS_S)
    return len(sent_bytes) / _NEWS_S, sum(sent_bytes) / _NEWS_S


def change_bytes(gateway_count, part_count=_CHANGED_PARTS):
    """
    Count what a gateway tells all others at once of one end.

    Parameters
    ----------
    gateway_count, part_count : int

    Returns
    -------
    int
    """
    suspects, requests = Suspects("gateway-0"), RequestCrashes("gateway-0")
    _end(suspects, part_count)
    _end_requests(requests, 1)
    subjects = [*suspects.parts(), *requests.most_crashed(1)]
    return sum(_sent_bytes(gateway_count, suspects, requests, subjects, 0.0))


def _sent_bytes(gateway_count, suspects, requests, told, for_s):
    """Let a gateway tell some parts, and repeat all for a time; give datagrams."""
    sent_bytes = []
    others = [
        EntryPresence(f"gateway-{number}", f"10.0.0.{number}:80", "", "z-a", True)
        for number in range(1, gateway_count)
    ]

    async def send(receivers, records):
        if not records or trio.current_time() < _GREETED_S:
            # A gateway that starts asks others for what they know, and greets them.
            return
        data = b'[5,"gateway-0",%s]' % orjson.dumps(records)
        sent_bytes.extend([len(data) + _HEAD_BYTES] * len(receivers))

    async def body():
        servers = TrialServers("gateway-0")
        news = CrashNews(suspects, requests, servers, "gateway-0", lambda: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(news.run, send, lambda: others)
            await trio.sleep(_GREETED_S)
            news.tell(told)
            await trio.sleep(for_s + 0.5)
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
    return sent_bytes


def memory_kb(proofs=_PROOFS, suspicions=_MOST_SUSPICIONS):
    """
    Measure what proofs and suspicions hold, the latter with as many ends as are kept.

    Parameters
    ----------
    proofs, suspicions : int

    Returns
    -------
    proofs_kb, suspicions_kb : float
    """
    tracemalloc.start()
    try:
        suspects = Suspects("g")
        empty = tracemalloc.get_traced_memory()[0]
        for number in range(proofs):
            suspects.record_success([_part(1_000_000 + number)], float(number))
        proven = tracemalloc.get_traced_memory()[0]
        _end(suspects, suspicions, _MOST_ENDS)
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return (proven - empty) / 1000, (held - proven) / 1000


def request_memory_kb(count):
    """
    Measure what requests that servers ended under hold.

    Parameters
    ----------
    count : int

    Returns
    -------
    float
    """
    tracemalloc.start()
    try:
        requests = RequestCrashes("g")
        empty = tracemalloc.get_traced_memory()[0]
        _end_requests(requests, count)
        return (tracemalloc.get_traced_memory()[0] - empty) / 1000
    finally:
        tracemalloc.stop()


@click.command(help=__doc__)
@click.option("--rounds", default=_ROUNDS, show_default=True)
def main(rounds):
    """Print a table for each kind of cost."""
    click.echo("| parts | suspicions | us a request, middle (least to most) |")
    click.echo("|---|---|---|")
    for parts in _PART_COUNTS:
        for held in _SUSPICIONS:
            found = sorted(decision_us(parts, held) for _ in range(rounds))
            span = f"{found[0]:.2f} to {found[-1]:.2f}"
            click.echo(f"| {parts} | {held} | {found[rounds // 2]:.2f} ({span}) |")
    click.echo("\n| gateways | suspicions | datagrams a second | bytes a second |")
    click.echo("|---|---|---|---|")
    for gateways in _GATEWAYS:
        for held in _REPEATED:
            datagrams, byte_count = news_rate(gateways, held)
            click.echo(f"| {gateways} | {held} | {datagrams:.1f} | {byte_count:.0f} |")
    click.echo("\n| gateways | requests | datagrams a second | bytes a second |")
    click.echo("|---|---|---|---|")
    for gateways in _GATEWAYS:
        for held in _REQUESTS:
            datagrams, byte_count = request_news_rate(gateways, held)
            click.echo(f"| {gateways} | {held} | {datagrams:.1f} | {byte_count:.0f} |")
    click.echo("\n| gateways | bytes told at once of one end |")
    click.echo("|---|---|")
    for gateways in _GATEWAYS:
        click.echo(f"| {gateways} | {change_bytes(gateways)} |")
    proofs_kb, suspicions_kb = memory_kb()
    click.echo(f"\n{_PROOFS} proofs: {proofs_kb:.0f} kB")
    click.echo(
        f"{_MOST_SUSPICIONS} suspicions of {_MOST_ENDS} ends: {suspicions_kb:.0f} kB"
    )
    requests_kb = request_memory_kb(_REQUESTS[-1])
    click.echo(
        f"{_REQUESTS[-1]} requests of {_REQUEST_ENDS} ends: {requests_kb:.0f} kB"
    )


if __name__ == "__main__":
    main()
