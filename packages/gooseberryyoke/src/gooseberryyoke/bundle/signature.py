"""
Ed25519 signatures of bundles.

Not imported by the package itself: cryptography takes several MB of memory, which an
agent doesn't have to spare. Entries and the client import this module by its name.
"""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
    load_pem_public_key,
)
from returns.result import Failure, Success

from gooseberryyoke.bundle.envelope import Signature, SignatureProblem, signed_bytes
from gooseberryyoke.bundle.exceptions import UnusableKeyError

__all__ = ["make_key_pair", "sign", "verify"]


def make_key_pair():
    """
    Make a new sign-off key.

    Returns
    -------
    private_pem : str
    public_pem : str
    """
    key = Ed25519PrivateKey.generate()
    private_pem = key.private_bytes(
        Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
    ).decode()
    return private_pem, _public_pem(key.public_key())


def _public_pem(key):
    return key.public_bytes(Encoding.PEM, PublicFormat.SubjectPublicKeyInfo).decode()


def sign(envelope, signer, private_pem):
    """
    Sign an envelope off.

    Parameters
    ----------
    envelope : Envelope
    signer : str
        Name under which the entries know the public key.
    private_pem : str
        Ed25519 private key in PEM.

    Returns
    -------
    Envelope
        With the signature added; it takes the place of an earlier one of the signer.

    Raises
    ------
    UnusableKeyError
        If the text isn't such a key.
    """
    key = _load(load_pem_private_key, private_pem, Ed25519PrivateKey, password=None)
    value = key.sign(_signed_part(envelope))
    others = [item for item in envelope.signatures if item.signer != signer]
    added = Signature(signer, b64encode(value).decode())
    return envelope.replace(signatures=(*others, added))


def verify(envelope, trusted_keys, needed):
    """
    Check that enough signers have signed an envelope off.

    Whoever calls also opens the envelope (`gooseberryyoke.bundle.open_envelope`), as
    that compares what is signed here with the text.

    Parameters
    ----------
    envelope : Envelope
    trusted_keys : dict of str to str
        Public keys in PEM by name of the signer.
    needed : int
        How many different signers.

    Returns
    -------
    returns.result.Result
        ``Success`` of the names of the signers, or ``Failure`` of a `SignatureProblem`.

    Raises
    ------
    UnusableKeyError
        If a trusted key isn't an Ed25519 public key.
    """
    message = _signed_part(envelope)
    good, problems = {}, []
    for signature in envelope.signatures:
        public_pem = trusted_keys.get(signature.signer)
        if public_pem is None:
            problems.append(f"{signature.signer!r} is no signer here")
        elif not _is_right(signature, public_pem, message):
            problems.append(f"the signature of {signature.signer!r} is wrong")
        else:
            # By key: one key under two names must not count as two signers.
            good.setdefault(
                _load_public(public_pem).public_bytes_raw(), signature.signer
            )
    if len(good) >= needed:
        return Success(tuple(good.values()))
    names = ", ".join(trusted_keys) or "none"
    detail = f"found {len(good)} right signatures, expected {needed} of: {names}"
    return Failure(
        SignatureProblem("; ".join([detail, *problems]), tuple(good.values()), needed)
    )


def _signed_part(envelope):
    return signed_bytes(envelope.deployment, envelope.version, envelope.digest)


def _is_right(signature, public_pem, message):
    public_key = _load_public(public_pem)
    try:
        public_key.verify(b64decode(signature.value, validate=True), message)
    except (Base64Error, ValueError, InvalidSignature):
        return False
    return True


def _load_public(public_pem):
    return _load(load_pem_public_key, public_pem, Ed25519PublicKey)


def _load(loader, pem, kind, **options):
    try:
        key = loader(pem.encode(), **options)
    except (ValueError, TypeError, UnsupportedAlgorithm) as exc:
        raise UnusableKeyError(
            f"found no readable key, expected {kind.__name__}"
        ) from exc
    if not isinstance(key, kind):
        raise UnusableKeyError(f"found {type(key).__name__}, expected {kind.__name__}")
    return key
