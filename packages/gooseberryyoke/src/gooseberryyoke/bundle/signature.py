"""
Ed25519 signatures of bundles.

The package doesn't import this module, because cryptography takes several MB of memory
that agents can't spare. Entries and the client import it explicitly.
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
    Generate a sign-off key pair.

    Returns
    -------
    private_pem : str
        Private key as PKCS #8 in PEM.
    public_pem : str
        Public key in PEM.
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
    Add a sign-off signature to an envelope.

    Parameters
    ----------
    envelope : Envelope
    signer : str
        Name of the public key in the settings of the entries.
    private_pem : str
        Ed25519 private key in PEM.

    Returns
    -------
    Envelope
        Copy with the signature added; it replaces an earlier one of the same signer.

    Raises
    ------
    UnusableKeyError
        If the text isn't an Ed25519 private key.
    """
    key = _load_key(load_pem_private_key, private_pem, Ed25519PrivateKey, password=None)
    value = key.sign(_signed_message(envelope))
    others = [item for item in envelope.signatures if item.signer != signer]
    added = Signature(signer, b64encode(value).decode())
    return envelope.replace(signatures=(*others, added))


def verify(envelope, trusted_keys, needed):
    """
    Verify that an envelope has enough valid signatures of trusted signers.

    Callers must also open the envelope with `gooseberryyoke.bundle.open_envelope`,
    which compares the signed fields with the text.

    Parameters
    ----------
    envelope : Envelope
    trusted_keys : dict of str to str
        Public keys in PEM by signer name.
    needed : int
        Required number of distinct signers.

    Returns
    -------
    returns.result.Result
        ``Success`` of the signer names, or ``Failure`` of a `SignatureProblem`.

    Raises
    ------
    UnusableKeyError
        If a trusted key isn't an Ed25519 public key.
    """
    message = _signed_message(envelope)
    signer_by_key, problems = {}, []
    for signature in envelope.signatures:
        public_pem = trusted_keys.get(signature.signer)
        if public_pem is None:
            problems.append(f"{signature.signer!r} is no signer here")
        elif not _is_valid(signature, public_pem, message):
            problems.append(f"the signature of {signature.signer!r} is wrong")
        else:
            # Indexed by key, so that one key under two names counts as one signer.
            signer_by_key.setdefault(
                _load_public_key(public_pem).public_bytes_raw(), signature.signer
            )
    if len(signer_by_key) >= needed:
        return Success(tuple(signer_by_key.values()))
    names = ", ".join(trusted_keys) or "none"
    detail = (
        f"found {len(signer_by_key)} right signatures, expected {needed} of: {names}"
    )
    return Failure(
        SignatureProblem(
            "; ".join([detail, *problems]), tuple(signer_by_key.values()), needed
        )
    )


def _signed_message(envelope):
    return signed_bytes(envelope.deployment, envelope.version, envelope.digest)


def _is_valid(signature, public_pem, message):
    public_key = _load_public_key(public_pem)
    try:
        public_key.verify(b64decode(signature.value, validate=True), message)
    except (Base64Error, ValueError, InvalidSignature):
        return False
    return True


def _load_public_key(public_pem):
    return _load_key(load_pem_public_key, public_pem, Ed25519PublicKey)


def _load_key(loader, pem, key_type, **options):
    try:
        key = loader(pem.encode(), **options)
    except (ValueError, TypeError, UnsupportedAlgorithm) as exc:
        raise UnusableKeyError(
            f"found no readable key, expected {key_type.__name__}"
        ) from exc
    if not isinstance(key, key_type):
        raise UnusableKeyError(
            f"found {type(key).__name__}, expected {key_type.__name__}"
        )
    return key
