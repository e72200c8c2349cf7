"""Transport form of a bundle: its text with the sign-off signatures."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["Envelope", "Signature", "SignatureProblem", "signed_bytes"]

_MAX_EXCERPT_CHARACTERS = 60


def signed_bytes(deployment, version, digest):
    """
    Build the message that a signature covers.

    The message includes the deployment and a fixed first line, so that a signature
    can't be reused for another deployment or another kind of document.

    Parameters
    ----------
    deployment : str
    version : int
    digest : str

    Returns
    -------
    bytes
    """
    return f"gooseberryyoke bundle\n{deployment}\n{version}\n{digest}\n".encode()


class Signature(Record):
    """
    Signature of an envelope by one signer.

    Parameters
    ----------
    signer : str
        Name of the sign-off key, as in the settings of the entries.
    value : str
        Ed25519 signature in base64.
    """

    __slots__ = ("signer", "value")

    def __init__(self, signer, value):
        self.signer = signer
        self.value = value


class SignatureProblem(Record):
    """
    Reason why an envelope lacks a valid sign-off.

    Parameters
    ----------
    detail : str
        Explanation for the operator.
    good : tuple of str
        Signers with valid signatures.
    needed : int
        Required number of distinct signers.
    """

    __slots__ = ("detail", "good", "needed")

    def __init__(self, detail, good, needed):
        self.detail = detail
        self.good = good
        self.needed = needed


class Envelope(Record):
    """
    Text of a bundle with its signatures.

    Parameters
    ----------
    deployment : str
    version : int
    digest : str
        Signed digest; the receiver compares it with the digest of the text.
    text : str
        The YAML document as written.
    signatures : tuple of Signature
    """

    __slots__ = ("deployment", "version", "digest", "text", "signatures")

    def __init__(self, deployment, version, digest, text, signatures=()):
        self.deployment = deployment
        self.version = version
        self.digest = digest
        self.text = text
        self.signatures = signatures

    def to_payload(self):
        """
        Convert the envelope to plain data for JSON.

        Returns
        -------
        dict
        """
        return {
            "deployment": self.deployment,
            "version": self.version,
            "digest": self.digest,
            "text": self.text,
            "signatures": [
                {"signer": item.signer, "signature": item.value}
                for item in self.signatures
            ],
        }

    @classmethod
    def from_payload(cls, payload):
        """
        Parse an envelope from untrusted plain data.

        Parameters
        ----------
        payload : object

        Returns
        -------
        returns.result.Result
            ``Success`` of an `Envelope`, or ``Failure`` of an error message.
        """
        if not isinstance(payload, dict):
            return Failure(f"found {type(payload).__name__}, expected an object")
        for name, expected_type in _PAYLOAD_TYPES.items():
            value = payload.get(name)
            if not isinstance(value, expected_type) or isinstance(value, bool):
                return Failure(
                    f"found {name} {_excerpt(value)}, expected {expected_type.__name__}"
                )
        signatures = payload["signatures"]
        for item in signatures:
            if not _is_signature(item):
                return Failure(f"found signature {_excerpt(item)}, expected two texts")
        scalars = (payload[name] for name in _PAYLOAD_TYPES if name != "signatures")
        return Success(
            cls(
                *scalars,
                tuple(
                    Signature(item["signer"], item["signature"]) for item in signatures
                ),
            )
        )


# In the order of the arguments of Envelope, as from_payload passes them by position.
_PAYLOAD_TYPES = {
    "deployment": str,
    "version": int,
    "digest": str,
    "text": str,
    "signatures": list,
}


def _is_signature(item):
    return isinstance(item, dict) and all(
        isinstance(item.get(name), str) for name in ("signer", "signature")
    )


def _excerpt(value):
    return repr(value)[:_MAX_EXCERPT_CHARACTERS]
