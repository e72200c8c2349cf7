"""``gooseberryyoke keys``."""

import re
import secrets
from pathlib import Path

import click
from returns.result import Failure

from gooseberryyoke.bundle import key_hash
from gooseberryyoke.document import NAME_PATTERN
from gooseberryyoke_client.answer import Answer, mistakes_answer
from gooseberryyoke_client.exit_codes import ExitCode
from gooseberryyoke_client.files import write_new
from gooseberryyoke_client.options import gives_answer

__all__ = ["keys"]

_ACCOUNT_KEY_BYTES = 32
_INTERNAL_KEY_BYTES = 32


def _check_name(ctx, param, value):
    if not re.fullmatch(NAME_PATTERN, value):
        raise click.BadParameter(f"found {value!r}, expected a name as in a bundle")
    return value


@click.group()
def keys():
    """Make keys: of those who sign off, of accounts, of the system's processes."""


@keys.command("sign-off")
@click.argument("signer", callback=_check_name)
@click.option("--folder", default=".", help="Where both files go.", show_default=True)
@gives_answer
def sign_off(session, signer, folder):
    """Make the key pair of SIGNER, who signs bundles off."""
    from gooseberryyoke.bundle.signature import make_key_pair

    private_pem, public_pem = make_key_pair()
    private_file = Path(folder) / f"{signer}.key.pem"
    public_file = Path(folder) / f"{signer}.pub.pem"
    written = write_new(private_file, private_pem, private=True).bind(
        lambda _: write_new(public_file, public_pem, private=False)
    )
    if isinstance(written, Failure):
        return _not_written(written)
    lines = [
        f"private key, for {signer} alone: {private_file}",
        f"public key, for the settings of each entry: {public_file}",
    ]
    payload = {
        "signer": signer,
        "private": str(private_file),
        "public": str(public_file),
    }
    next_step = (
        f"name the public key as sign_off.keys.{signer} in the settings of each entry."
    )
    return Answer(ExitCode.DONE, lines, payload, next_step)


@keys.command()
@click.argument("name", callback=_check_name)
@gives_answer
def account(session, name):
    """
    Make a bearer key of the account NAME.

    The key is shown once and kept nowhere; the bundle takes its hash.
    """
    key = secrets.token_urlsafe(_ACCOUNT_KEY_BYTES)
    hashed = key_hash(key)
    lines = [
        f"key, shown this once, for {name} alone: {key}",
        "line for the bundle:",
        f"    key_hashes: [{hashed}]",
    ]
    payload = {"account": name, "key": key, "key_hash": hashed}
    next_step = (
        f"add the hash under accounts.{name}, beside the old one until {name} has "
        "changed over, and roll the bundle under a higher version."
    )
    return Answer(ExitCode.DONE, lines, payload, next_step)


@keys.command()
@click.argument("file")
@click.option("--id", "key_id", default="first", show_default=True, help="Its name.")
@gives_answer
def internal(session, file, key_id):
    """Make the FILE of the key that signs messages between processes."""
    key = secrets.token_hex(_INTERNAL_KEY_BYTES)
    written = write_new(Path(file), f"keys:\n  {key_id}: {key}\n", private=True)
    if isinstance(written, Failure):
        return _not_written(written)
    lines = [f"internal key {key_id}: {file}"]
    next_step = (
        "copy the file to every process of the deployment and name it in their "
        "settings as internal_keys."
    )
    return Answer(ExitCode.DONE, lines, {"id": key_id, "file": file}, next_step)


def _not_written(result):
    next_step = "name another folder or file; keys aren't replaced."
    return mistakes_answer(result.failure(), "no key was made", next_step)
