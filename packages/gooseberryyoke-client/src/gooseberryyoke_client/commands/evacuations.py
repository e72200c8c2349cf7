"""``gooseberryyoke evacuations``."""

from datetime import UTC, datetime

import click

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.options import asks_controls, gives_answer
from gooseberryyoke_client.table import table

__all__ = ["evacuations"]

_PATH = "/operator/evacuations"
_ACK_TIMEOUT_S = 5.0
_OK = 200
_UNAVAILABLE = 503
_HEADS = ("data centre", "evacuated since")
_LIST = "`gooseberryyoke evacuations list`"


@click.group()
def evacuations():
    """Show and order evacuations of data centres."""


@evacuations.command("list")
@gives_answer
@asks_controls
def list_(session):
    """Show which data centres are evacuated, as a majority has it."""
    address, status, payload = session.ask("GET", _PATH)
    if status != _OK:
        return _refusal(address, status, payload)
    rows = [
        (one["data_centre"], _time(one["since_ms"])) for one in payload["evacuated"]
    ]
    lines = [f"revision {payload['revision']}: {len(rows)} evacuated"]
    return Answer(ExitCode.DONE, lines + (table(_HEADS, rows) if rows else []), payload)


def _time(since_ms):
    found = datetime.fromtimestamp(since_ms / 1000, UTC)
    return found.isoformat(timespec="seconds").replace("+00:00", "Z")


def _order(kind, done, next_step, help):
    @evacuations.command(kind, help=help)
    @click.argument("data_centre", metavar="DATA_CENTRE")
    @click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0.0, min_open=True),
        default=_ACK_TIMEOUT_S,
        show_default=True,
        help="Seconds for which the order is sent until it is acknowledged.",
    )
    @gives_answer
    @asks_controls
    def _run(session, data_centre, timeout_s):
        body = {"order": kind, "data_centre": data_centre}
        address, status, payload = session.order("POST", _PATH, body, timeout_s)
        if status != _OK:
            return _refusal(address, status, payload, is_order=True)
        lines = [f"{data_centre} {done}, revision {payload['revision']}"]
        return Answer(ExitCode.DONE, lines, payload, next_step)


_order(
    "start",
    "is evacuated",
    "wait until the metric evacuated_requests is 0 at all gateways: what runs there "
    "ends by itself.",
    "Order that no request is sent to a data centre.",
)
_order(
    "end",
    "gets requests again",
    "",
    "Order that a data centre gets requests again.",
)


def _refusal(address, status, payload, is_order=False):
    detail = payload.get("detail", "no reason given")
    if status != _UNAVAILABLE:
        lines = [f"control process {address} refused with status {status}: {detail}"]
        return Answer(ExitCode.REFUSED, lines, payload)
    if not is_order:
        next_step = "run the same command again, or look after the control processes."
        return Answer(
            ExitCode.NO_MAJORITY, [f"no majority: {detail}"], payload, next_step
        )
    next_step = (
        f"{_LIST} shows what is in force; run the same command again if it is still "
        "wanted."
    )
    lines = [f"not acknowledged, may hold or not: {detail}"]
    return Answer(ExitCode.NO_MAJORITY, lines, payload, next_step)
