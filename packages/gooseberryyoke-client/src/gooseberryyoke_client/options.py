"""Options that several commands have."""

import functools
import re

import click

from gooseberryyoke_client.answer import Answer, finish
from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.exit_codes import ExitCode

__all__ = ["asks_controls", "asks_entries", "gives_answer"]

_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):[0-9]{1,5}")
_WHEN_UNREACHABLE = {
    "entry": "check the addresses, name other entries with --entry, and run the "
    "command again; that does no harm, for roll neither.",
    "control": "check the addresses, name others with --control, and run the command "
    "again. An order that was sent may hold or not: `gooseberryyoke evacuations list`.",
}


def gives_answer(command):
    """
    Give a command ``--json``, and print the `Answer` that it returns.

    Parameters
    ----------
    command : callable
        Takes the `Session` first.

    Returns
    -------
    callable
    """

    @click.option("--json", "as_json", is_flag=True, help="Answer in JSON.")
    @click.pass_obj
    @functools.wraps(command)
    def _run(session, *args, as_json, **kwargs):
        session.as_json = as_json
        finish(command(session, *args, **kwargs), as_json)

    return _run


def asks_entries(command):
    """
    Give a command ``--entry``, and answer when no entry can be reached.

    Parameters
    ----------
    command : callable
        Takes the `Session` first.

    Returns
    -------
    callable
    """
    return _asks(command, "entry", "GOOSEBERRYYOKE_ENTRIES", "entry", "entries")


def asks_controls(command):
    """
    Give a command ``--control``, and answer when no control process can be reached.

    Parameters
    ----------
    command : callable
        Takes the `Session` first.

    Returns
    -------
    callable
    """
    noun = "control process"
    return _asks(command, "control", "GOOSEBERRYYOKE_CONTROLS", noun, f"{noun}es")


def _asks(command, option, variable, noun, nouns):
    article = "an" if noun[0] in "aeiou" else "a"

    @click.option(
        f"--{option}",
        "addresses",
        multiple=True,
        required=True,
        envvar=variable,
        callback=_check_addresses,
        metavar="HOST:PORT",
        help=f"Operators' port of {article} {noun}; several are tried in turn. Also "
        f"taken from {variable}, separated by spaces.",
    )
    @click.option(
        "--ca",
        "ca_file",
        envvar="GOOSEBERRYYOKE_CA",
        help=f"Talk TLS to {nouns} whose certificates this authority (a PEM file) has "
        "signed. Also taken from GOOSEBERRYYOKE_CA.",
    )
    @functools.wraps(command)
    def _run(session, *args, addresses, ca_file, **kwargs):
        session.entries = addresses
        if ca_file is not None:
            _trust(session, ca_file)
        try:
            return command(session, *args, **kwargs)
        except EntryUnreachableError as exc:
            return _unreachable(exc, option, noun)

    return _run


def _trust(session, ca_file):
    try:
        session.trust(ca_file)
    except OSError as exc:
        detail = f"{ca_file}: {exc.strerror or exc}, expected certificates in PEM"
        raise click.BadParameter(detail, param_hint="--ca") from exc


def _check_addresses(ctx, param, value):
    for address in value:
        if not _ADDRESS.fullmatch(address):
            raise click.BadParameter(f"found {address!r}, expected host:port")
    return value


def _unreachable(exc, option, noun):
    reasons = str(exc).splitlines()
    lines = [f"no {noun} answered", *(f"  {reason}" for reason in reasons)]
    next_step = _WHEN_UNREACHABLE[option]
    return Answer(ExitCode.NO_ENTRY, lines, {"entries": reasons}, next_step)
