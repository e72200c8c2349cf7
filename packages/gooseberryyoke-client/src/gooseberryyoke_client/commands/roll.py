"""``gooseberryyoke roll``."""

import click
from returns.result import Failure

from gooseberryyoke.bundle import parse_bundle
from gooseberryyoke_client.answer import Answer, mistakes_answer
from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.files import read_envelope
from gooseberryyoke_client.options import asks_entries, gives_answer
from gooseberryyoke_client.refusal import refusal_answer

__all__ = ["roll"]

_POLL_S = 0.5
# Clocks of two instances may run apart; a lease that its holder measures longer than
# we do must still have ended.
_CLOCK_DRIFT = 1.01
_MARGIN_S = 0.1


@click.command()
@click.argument("signed_file", metavar="SIGNED")
@gives_answer
@asks_entries
def roll(session, signed_file):
    """
    Roll a signed bundle and wait until no older one is served by.

    Safe to run again after a lost answer: the same bundle under the same version is
    accepted again. It ends once the leases on older bundles have run out, so that a
    holder without the new one refuses new requests.
    """
    read = read_envelope(signed_file)
    if isinstance(read, Failure):
        next_step = "`gooseberryyoke sign` the bundle and roll the file that it writes."
        return mistakes_answer(read.failure(), signed_file, next_step)
    envelope = read.unwrap()
    address, status, payload = session.ask(
        "POST", "/operator/bundle", envelope.to_payload()
    )
    if payload.get("reason") == "older" and _was_accepted(session, envelope):
        return _replaced(session, envelope, payload["winner"])
    if status != 200:
        return refusal_answer(address, status, payload)
    _tell(session, f"version {payload['version']} accepted{_again(payload)}")
    holders = _wait(session, payload["version"], payload["lease_s"])
    return _answer(envelope, payload, holders, _newest(session))


def _was_accepted(session, envelope):
    # The answer to the first try was lost, and by now somebody has rolled a newer
    # bundle. "Refused" would make the operator roll an old content once more.
    _, status, payload = session.ask("GET", "/operator/history")
    mine = (envelope.version, envelope.digest)
    return status == 200 and any(
        (line["version"], line["digest"]) == mine for line in payload["versions"]
    )


def _replaced(session, envelope, winner):
    holders = _wait(session, winner["version"], _lease_s(session, envelope))
    lines = [
        f"version {envelope.version} was accepted, and has been replaced since",
        f"  version {winner['version']} is in force, digest {winner['digest']}",
    ]
    payload = {"version": envelope.version, "replaced_by": winner, "holders": holders}
    return Answer(ExitCode.DONE, lines, payload)


def _lease_s(session, envelope):
    _, status, payload = session.ask("GET", "/operator/bundle")
    texts = [envelope.text, payload["text"]] if status == 200 else [envelope.text]
    bundles = [parse_bundle(text).value_or(None) for text in texts]
    return max(bundle.durable.bundle_lease_s for bundle in bundles if bundle)


def _wait(session, version, lease_s):
    end_s = session.monotonic() + lease_s * _CLOCK_DRIFT + _MARGIN_S
    holders, told = {}, None
    while (left_s := end_s - session.monotonic()) > 0:
        holders = _holders(session, version) or holders
        having = sum(holders.values())
        if holders and having != told:
            _tell(session, f"  {having} of {len(holders)} holders have it")
            told = having
        session.sleep(min(_POLL_S, left_s))
    return _holders(session, version) or holders


def _status(session):
    try:
        _, status, payload = session.ask("GET", "/operator/status")
    except EntryUnreachableError:
        return {}
    return payload if status == 200 else {}


def _newest(session):
    bundle = _status(session).get("bundle")
    return bundle["version"] if bundle else 0


def _holders(session, version):
    payload = _status(session)
    members = [*payload.get("entries", ()), *payload.get("agents", ())]
    return {
        member["name"]: member["version"] >= version
        for member in members
        if isinstance(member.get("version"), int)
    }


def _again(payload):
    return ", as it was before" if payload["again"] else ""


def _tell(session, line):
    if not session.as_json:
        click.echo(line)


def _answer(envelope, payload, holders, newest):
    missing = sorted(name for name, has_it in holders.items() if not has_it)
    version = payload["version"]
    lines = [f"rolled: {envelope.deployment} version {version} is in force"]
    if newest > version:
        lines = [f"rolled: version {version}; by now version {newest} is in force"]
    next_step = ""
    if missing:
        lines.append(
            f"  without it, and refusing new requests until they have it: "
            f"{', '.join(missing)}"
        )
        next_step = "`gooseberryyoke watch` shows when they have it."
    if not holders:
        lines.append("  no entry told which holders have it")
        next_step = "`gooseberryyoke status`."
    result = payload | {"holders": holders, "missing": missing}
    return Answer(ExitCode.DONE, lines, result, next_step)
