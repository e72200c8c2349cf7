"""``gooseberryyoke watch``."""

import json

import click

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.options import asks_entries, gives_answer

__all__ = ["watch"]

_QUIET = frozenset(("still-here",))


@click.command()
@click.option("--until-version", type=int, help="End once this version is in force.")
@gives_answer
@asks_entries
def watch(session, until_version):
    """
    Show what changes, line by line; with --json, one JSON object a line.

    Goes on at the next entry when one stops or goes silent.
    """
    for address, line in session.lines("/operator/watch"):
        if session.as_json:
            click.echo(json.dumps(line, ensure_ascii=False))
        elif line["event"] not in _QUIET:
            click.echo(_shown(address, line))
        if until_version is not None and _is_in_force(line, until_version):
            return Answer(ExitCode.DONE, [], {"version": line["version"]})
    return None


def _shown(address, line):
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("event", "name")
    )
    return f"{address}  {line['event']}  {line['name']}  {fields}".rstrip()


def _is_in_force(line, version):
    return line["event"] == "bundle-in-force" and line["version"] >= version
