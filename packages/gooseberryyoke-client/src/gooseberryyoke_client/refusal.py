"""Answers to what an entry refuses."""

from gooseberryyoke.document import Mistake
from gooseberryyoke_client.answer import Answer, mistakes_answer
from gooseberryyoke_client.exit_codes import ExitCode

__all__ = ["refusal_answer"]


def refusal_answer(address, status, payload):
    """
    Tell why an entry refused, and what to do.

    Parameters
    ----------
    address : str
    status : int
    payload : dict
        Problem JSON.

    Returns
    -------
    Answer
    """
    reason = payload.get("reason", "")
    make = _BY_REASON.get(reason, _other)
    return make(address, status, payload)


def _mistakes(address, status, payload):
    mistakes = [Mistake.from_payload(item) for item in payload["mistakes"]]
    next_step = "correct the bundle, check and sign it again, and roll it."
    return mistakes_answer(mistakes, f"entry {address}", next_step)


def _conflict(address, status, payload):
    winner = payload["winner"]
    lines = [
        f"conflict: version {winner['version']} is another bundle",
        *_winner_lines(winner),
    ]
    next_step = (
        f"`gooseberryyoke show --version {winner['version']}` shows it; take over what "
        f"it changes, and roll yours under version {winner['version'] + 1} or higher."
    )
    return Answer(ExitCode.CONFLICT, lines, payload, next_step)


def _older(address, status, payload):
    winner = payload["winner"]
    lines = [f"older: version {winner['version']} is in force", *_winner_lines(winner)]
    next_step = (
        "to undo a roll, roll the former content under version "
        f"{winner['version'] + 1} or higher; versions never go back."
    )
    return Answer(ExitCode.OLDER, lines, payload, next_step)


def _signatures(address, status, payload):
    lines = [f"not signed off: {payload['detail']}"]
    next_step = (
        f"let signers whom the entries trust sign until there are {payload['needed']} "
        "(`gooseberryyoke sign`); then roll again."
    )
    return Answer(ExitCode.SIGNATURES, lines, payload, next_step)


def _no_majority(address, status, payload):
    lines = [f"no majority: {payload['detail']}"]
    next_step = (
        "run the same command again; `gooseberryyoke status` shows which replicas are "
        "silent. A bundle that was rolled may still have been accepted: rolling it "
        "again does no harm."
    )
    return Answer(ExitCode.NO_MAJORITY, lines, payload, next_step)


def _other(address, status, payload):
    detail = payload.get("detail", "no reason given")
    lines = [f"entry {address} refused with status {status}: {detail}"]
    return Answer(ExitCode.REFUSED, lines, payload)


def _winner_lines(winner):
    signers = ", ".join(winner["signers"]) or "unknown"
    return [f"  digest {winner['digest']}", f"  signed off by {signers}"]


_BY_REASON = {
    "mistakes": _mistakes,
    "conflict": _conflict,
    "older": _older,
    "signatures": _signatures,
    "no-majority": _no_majority,
}
