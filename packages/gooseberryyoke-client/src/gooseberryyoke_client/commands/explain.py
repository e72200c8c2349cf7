"""``gooseberryyoke explain``."""

import click
from returns.result import Failure

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.log_files import read_logs
from gooseberryyoke_client.options import gives_answer
from gooseberryyoke_client.story import ahead_of, tell_story

__all__ = ["explain"]

_TOLD_APART = ("time", "level", "event", "node", "ahead_by_urgency")


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, metavar="LOG...")
@gives_answer
def explain(session, request, logs):
    """Tell one request's story from the logs of any number of processes."""
    read = read_logs(logs)
    if isinstance(read, Failure):
        return read.failure()
    lines, skipped = read.unwrap()
    story = tell_story(request, lines, skipped)
    shown = [_shown(line) for line in story.lines]
    if not shown:
        shown = [f"no line of request {request} in {len(lines)} lines"]
    if skipped:
        shown.append(f"({skipped} lines are no log lines)")
    payload = {"lines": [line.fields for line in story.lines], "skipped": skipped}
    code = ExitCode.DONE if story.lines else ExitCode.MISTAKES
    return Answer(code, shown, payload)


def _shown(line):
    fields = line.fields
    rest = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _TOLD_APART
    )
    at = fields["time"][11:23]
    told = f"{at} {fields.get('node', '-')} {fields['event']} {rest}".rstrip()
    ahead = ahead_of(fields)
    if ahead:
        counts = (f"{count} of urgency {level}" for level, count in ahead.items())
        told += f" served before: {', '.join(counts)}"
    return told
