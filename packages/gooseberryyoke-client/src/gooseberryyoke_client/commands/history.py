"""``gooseberryyoke history``."""

import click

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.options import asks_entries, gives_answer
from gooseberryyoke_client.refusal import refusal_answer
from gooseberryyoke_client.table import table

__all__ = ["history"]


@click.command()
@gives_answer
@asks_entries
def history(session):
    """List the bundles that were accepted, the newest first."""
    address, status, payload = session.ask("GET", "/operator/history")
    if status != 200:
        return refusal_answer(address, status, payload)
    rows = [
        (
            str(line["version"]),
            line["accepted_at"],
            ", ".join(line["signers"]),
            line["digest"],
        )
        for line in payload["versions"]
    ]
    lines = table(("version", "accepted", "signed off by", "digest"), rows)
    next_step = ""
    if not rows:
        next_step = "`gooseberryyoke roll` a first bundle."
    return Answer(ExitCode.DONE, lines, payload, next_step)
