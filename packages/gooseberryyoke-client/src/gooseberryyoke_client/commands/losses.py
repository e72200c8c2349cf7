"""``gooseberryyoke losses``."""

import click
from returns.result import Failure

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.log_files import read_logs
from gooseberryyoke_client.losses import sum_losses
from gooseberryyoke_client.options import gives_answer

__all__ = ["losses"]

_USUAL_SPAN_S = 2.0
_LEAST_SPAN_S = 0.1


@click.command()
@click.argument("logs", nargs=-1, required=True, metavar="LOG...")
@click.option(
    "--span",
    "span_s",
    type=click.FloatRange(min=_LEAST_SPAN_S),
    default=_USUAL_SPAN_S,
    show_default=True,
    help="Seconds that are summed up in a column.",
)
@gives_answer
def losses(session, logs, span_s):
    """Sum up late, refused and failed requests by cause from gateways' logs."""
    read = read_logs(logs)
    if isinstance(read, Failure):
        return read.failure()
    lines, _ = read.unwrap()
    summed = sum_losses(lines, span_s)
    if not summed.spans:
        return Answer(ExitCode.MISTAKES, [f"no request in {len(lines)} lines"], {})
    rows = summed.total.most_common()
    payload = {
        "span_s": span_s,
        "total": dict(rows),
        "spans": [dict(span) for span in summed.spans],
    }
    return Answer(ExitCode.DONE, list(_table(rows, summed)), payload)


def _table(rows, summed):
    width = max(len(cause) for cause, _ in rows)
    for cause, count in rows:
        by_span = " ".join(f"{span[cause]:4}" for span in summed.spans)
        yield f"{cause:{width}} {count:6}  {by_span}"
