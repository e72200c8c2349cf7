"""``gooseberryyoke status``."""

import click

from gooseberryyoke_client.answer import Answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.options import asks_entries, gives_answer
from gooseberryyoke_client.refusal import refusal_answer
from gooseberryyoke_client.table import table

__all__ = ["status"]

_KINDS = {"entries": "entry", "agents": "agent", "replicas": "replica"}
_HEADS = ("kind", "name", "data centre", "service", "state", "version")


@click.command()
@gives_answer
@asks_entries
def status(session):
    """Show entries, agents and replicas, each with the version that it has."""
    address, code, payload = session.ask("GET", "/operator/status")
    if code != 200:
        return refusal_answer(address, code, payload)
    members = [
        (kind, member)
        for group, kind in _KINDS.items()
        for member in payload.get(group, ())
    ]
    lines = [_headline(payload), *table(_HEADS, [_row(*item) for item in members])]
    return Answer(ExitCode.DONE, lines, payload, _next_step(payload, members))


def _headline(payload):
    bundle = payload.get("bundle")
    if bundle is None:
        return f"as {payload['entry']} sees it: no bundle in force"
    return (
        f"as {payload['entry']} sees it: version {bundle['version']} in force, "
        f"digest {bundle['digest']}"
    )


def _row(kind, member):
    values = (
        member.get("name"),
        member.get("data_centre"),
        member.get("service"),
        member.get("state"),
        member.get("version"),
    )
    return (kind, *("-" if value is None else str(value) for value in values))


def _next_step(payload, members):
    if payload.get("bundle") is None:
        return "`gooseberryyoke roll` a bundle; until then requests are refused."
    silent = [member["name"] for _, member in members if member["state"] == "silent"]
    if silent:
        return f"look after {', '.join(silent)}: nothing was heard of them lately."
    return ""
