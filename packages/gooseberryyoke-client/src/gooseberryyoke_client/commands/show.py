"""``gooseberryyoke show``."""

import click

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.options import asks_entries, gives_answer
from gooseberryyoke_client.refusal import refusal_answer

__all__ = ["show"]


@click.command()
@click.option(
    "--version", "version", type=click.IntRange(1), help="Newest if left out."
)
@gives_answer
@asks_entries
def show(session, version):
    """Show a bundle that was accepted, as it was written."""
    query = "" if version is None else f"?version={version}"
    address, status, payload = session.ask("GET", f"/operator/bundle{query}")
    if status != 200:
        return refusal_answer(address, status, payload)
    signers = ", ".join(item["signer"] for item in payload["signatures"])
    lines = [
        f"# {payload['deployment']} version {payload['version']}",
        f"# digest {payload['digest']}",
        f"# signed off by {signers}",
        payload["text"].rstrip("\n"),
    ]
    return Answer(ExitCode.DONE, lines, payload)
