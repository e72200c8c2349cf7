"""A bundle on its way: its text with the signatures of those who sign it off."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["Envelope", "Signature", "SignatureProblem", "signed_bytes"]

_SHOWN_CHARACTERS = 60


def signed_bytes(deployment, version, digest):
    """
    Build what a signer signs.

    The deployment and a fixed first line are part of it, so that a signature can't be
    taken over to another deployment or to another kind of document.

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
    One signature.

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
    Why an envelope isn't signed off.

    Parameters
    ----------
    detail : str
    good : tuple of str
        Signers whose signatures are right.
    needed : int
        How many were needed.
    """

    __slots__ = ("detail", "good", "needed")

    def __init__(self, detail, good, needed):
        self.detail = detail
        self.good = good
        self.needed = needed


class Envelope(Record):
    """
    A bundle's text with its signatures.

    Parameters
    ----------
    deployment : str
    version : int
    digest : str
        What was signed; whoever receives it compares it with the text's own.
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
        Show the envelope as plain data for JSON.

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
        Read an envelope from untrusted plain data.

        Parameters
        ----------
        payload : object

        Returns
        -------
        returns.result.Result
            ``Success`` of an `Envelope`, or ``Failure`` of a sentence on what is wrong.
        """
        if not isinstance(payload, dict):
            return Failure(f"found {type(payload).__name__}, expected an object")
        for name, kind in _KINDS.items():
            value = payload.get(name)
            if not isinstance(value, kind) or isinstance(value, bool):
                return Failure(
                    f"found {name} {_shown(value)}, expected {kind.__name__}"
                )
        signatures = payload["signatures"]
        for item in signatures:
            if not _is_signature(item):
                return Failure(f"found signature {_shown(item)}, expected two texts")
        scalars = (payload[name] for name in _KINDS if name != "signatures")
        return Success(
            cls(
                *scalars,
                tuple(
                    Signature(item["signer"], item["signature"]) for item in signatures
                ),
            )
        )


_KINDS = {
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


def _shown(value):
    return repr(value)[:_SHOWN_CHARACTERS]
