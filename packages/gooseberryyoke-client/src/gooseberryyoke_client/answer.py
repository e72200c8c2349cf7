"""What a command tells the operator, as lines or as JSON."""

import json

import click

from gooseberryyoke.record import Record
from gooseberryyoke_client.exit_codes import ExitCode

__all__ = ["Answer", "finish", "mistakes_answer"]


class Answer(Record):
    """
    The end of a command.

    Parameters
    ----------
    code : ExitCode
    lines : list of str
        For people.
    payload : dict
        For ``--json``.
    next_step : str
        What to do now; empty if there is nothing to do.
    """

    __slots__ = ("code", "lines", "payload", "next_step")

    def __init__(self, code, lines, payload, next_step=""):
        self.code = code
        self.lines = lines
        self.payload = payload
        self.next_step = next_step


def finish(answer, as_json):
    """
    Print an answer and leave with its code.

    Parameters
    ----------
    answer : Answer
    as_json : bool
    """
    if as_json:
        head = {"code": int(answer.code), "result": answer.code.name.lower()}
        tail = {"next": answer.next_step} if answer.next_step else {}
        click.echo(json.dumps(head | answer.payload | tail, ensure_ascii=False))
    else:
        for line in answer.lines:
            click.echo(line)
        if answer.next_step:
            click.echo(f"Next: {answer.next_step}")
    click.get_current_context().exit(int(answer.code))


def mistakes_answer(mistakes, where, next_step=None):
    """
    Make the answer about a document with mistakes.

    Parameters
    ----------
    mistakes : list of Mistake
    where : str
        File, or the entry that found them.
    next_step : str, optional
        Correcting and checking the file, if left out.

    Returns
    -------
    Answer
    """
    noun = "mistake" if len(mistakes) == 1 else "mistakes"
    lines = [f"{where}: {len(mistakes)} {noun}", *(f"  {item}" for item in mistakes)]
    payload = {"mistakes": [item.to_payload() for item in mistakes]}
    if next_step is None:
        next_step = f"correct {where} and run `gooseberryyoke check` on it."
    return Answer(ExitCode.MISTAKES, lines, payload, next_step)
