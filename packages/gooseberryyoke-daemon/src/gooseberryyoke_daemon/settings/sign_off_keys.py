"""The public keys of those who sign bundles off."""

from base64 import b64decode
from binascii import Error as Base64Error

from returns.result import Failure, Success

from gooseberryyoke.document import Mistake
from gooseberryyoke_daemon.settings.file import read_text

__all__ = ["load_sign_off_keys"]

_PEM_HEAD = "-----BEGIN PUBLIC KEY-----"
_PEM_TAIL = "-----END PUBLIC KEY-----"
# What stands before the 32 bytes of any Ed25519 key (RFC 8410). Looked at here, a wrong
# file is found at the start without loading cryptography, not at the first roll.
_DER_HEAD = bytes.fromhex("302a300506032b6570032100")
_KEY_BYTES = 32


def load_sign_off_keys(sign_off):
    """
    Read the public keys that settings name.

    Parameters
    ----------
    sign_off : SignOff

    Returns
    -------
    returns.result.Result
        ``Success`` of a dict from signer to PEM text, or ``Failure`` of a list with a
        `Mistake` for each file that can't be read or holds no such key.
    """
    texts = {name: _read_key(name, path) for name, path in sign_off.keys.items()}
    mistakes = [
        mistake
        for result in texts.values()
        if isinstance(result, Failure)
        for mistake in result.failure()
    ]
    if mistakes:
        return Failure(mistakes)
    return Success({name: result.unwrap() for name, result in texts.items()})


def _read_key(name, path):
    return read_text(path).bind(lambda text: _check_key(name, path, text))


def _check_key(name, path, text):
    if _is_public_key(text):
        return Success(text)
    message = (
        f"found no Ed25519 public key in {path}, "
        "expected the file that `gooseberryyoke keys sign-off` writes"
    )
    return Failure([Mistake(f"sign_off.keys.{name}", 0, message)])


def _is_public_key(text):
    joined = "".join(text.split())
    head, tail = _PEM_HEAD.replace(" ", ""), _PEM_TAIL.replace(" ", "")
    if not (joined.startswith(head) and joined.endswith(tail)):
        return False
    try:
        der = b64decode(joined[len(head) : -len(tail)], validate=True)
    except Base64Error:
        return False
    return der.startswith(_DER_HEAD) and len(der) == len(_DER_HEAD) + _KEY_BYTES
