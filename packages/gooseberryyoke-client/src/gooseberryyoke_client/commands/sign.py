"""``gooseberryyoke sign``."""

import json
from pathlib import Path

import click
from returns.result import Failure, Success

from gooseberryyoke.bundle import UnusableKeyError, make_envelope, parse_bundle
from gooseberryyoke.document import Mistake
from gooseberryyoke_client.answer import Answer, mistakes_answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.files import read_envelope, read_text, write_over
from gooseberryyoke_client.options import gives_answer

__all__ = ["sign"]


@click.command()
@click.argument("bundle_file", metavar="BUNDLE")
@click.option("--signer", required=True, help="Name of the sign-off key.")
@click.option("--key", "key_file", required=True, help="Its private key file.")
@click.option("--out", help="Signed bundle; BUNDLE with .signed.json if left out.")
@gives_answer
def sign(session, bundle_file, signer, key_file, out):
    """
    Sign a bundle off.

    Adds a signature to the signed bundle if it is there and has the same content;
    signatures of another content are dropped.
    """
    out = out or str(Path(bundle_file).with_suffix(".signed.json"))
    texts = read_text(bundle_file).bind(
        lambda text: parse_bundle(text).map(lambda bundle: (text, bundle))
    )
    if isinstance(texts, Failure):
        return mistakes_answer(texts.failure(), bundle_file)
    text, bundle = texts.unwrap()
    kept, dropped = _earlier_signatures(out, bundle)
    signed = _sign(make_envelope(bundle, text, kept), signer, key_file)
    written = signed.bind(lambda envelope: write_over(Path(out), _shown(envelope)))
    if isinstance(written, Failure):
        next_step = "name a private sign-off key with --key and a writable --out."
        return mistakes_answer(written.failure(), "not signed", next_step)
    return _answer(signed.unwrap(), out, dropped)


def _earlier_signatures(out, bundle):
    earlier = read_envelope(out).value_or(None)
    if earlier is None:
        return (), ()
    if earlier.digest == bundle.digest:
        return earlier.signatures, ()
    return (), tuple(item.signer for item in earlier.signatures)


def _sign(envelope, signer, key_file):
    from gooseberryyoke.bundle.signature import sign as add_signature

    private_pem = read_text(key_file)
    if isinstance(private_pem, Failure):
        return private_pem
    try:
        return Success(add_signature(envelope, signer, private_pem.unwrap()))
    except UnusableKeyError as exc:
        return Failure([Mistake(key_file, 0, str(exc))])


def _shown(envelope):
    return json.dumps(envelope.to_payload(), indent=1, ensure_ascii=False) + "\n"


def _answer(envelope, out, dropped):
    signers = [item.signer for item in envelope.signatures]
    lines = [
        f"{out}: {envelope.deployment} version {envelope.version}, "
        f"signed off by {', '.join(signers)}",
        f"  digest {envelope.digest}",
    ]
    if dropped:
        names = ", ".join(dropped)
        lines.append(f"  dropped, as the content has changed: {names}")
    payload = {
        "file": out,
        "version": envelope.version,
        "digest": envelope.digest,
        "signers": signers,
        "dropped": list(dropped),
    }
    next_step = (
        f"let the others sign {out} off, if more are needed; then "
        f"`gooseberryyoke roll {out}`."
    )
    return Answer(ExitCode.DONE, lines, payload, next_step)
