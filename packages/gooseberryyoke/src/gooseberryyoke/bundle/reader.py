"""Reading of bundles."""

from returns.result import Failure, Success

from gooseberryyoke.bundle.bundle import content_digest
from gooseberryyoke.bundle.consistency import CONSISTENCY_CHECKS
from gooseberryyoke.bundle.envelope import Envelope
from gooseberryyoke.bundle.schema import BUNDLE
from gooseberryyoke.document import Mistake, check_document

__all__ = ["bundle_content", "open_envelope", "parse_bundle", "seal"]


def bundle_content(bundle):
    """
    Show a bundle as plain data, without what equals its default.

    Parameters
    ----------
    bundle : Bundle

    Returns
    -------
    dict
        Texts, numbers, flags, lists and dicts; written as YAML, it is a bundle again.
    """
    return BUNDLE.content(bundle)


def parse_bundle(text):
    """
    Read and check a bundle.

    Parameters
    ----------
    text : str
        The YAML document.

    Returns
    -------
    returns.result.Result
        ``Success`` of a `Bundle`, or ``Failure`` of a list with every `Mistake`.
    """
    return check_document(text, BUNDLE, *CONSISTENCY_CHECKS).map(_with_digest)


def seal(bundle, text, signatures=()):
    """
    Put the text of a bundle into an envelope.

    Parameters
    ----------
    bundle : Bundle
    text : str
        The document that the bundle was read from.
    signatures : iterable of Signature

    Returns
    -------
    Envelope
    """
    return Envelope(
        bundle.deployment, bundle.version, bundle.digest, text, tuple(signatures)
    )


def open_envelope(envelope):
    """
    Read the bundle in an envelope and compare it with what was signed.

    Parameters
    ----------
    envelope : Envelope

    Returns
    -------
    returns.result.Result
        ``Success`` of a `Bundle`, or ``Failure`` of a list of `Mistake`. Signatures
        aren't looked at.
    """
    return parse_bundle(envelope.text).bind(lambda bundle: _compare(bundle, envelope))


def _compare(bundle, envelope):
    mistakes = [
        Mistake(
            name,
            0,
            f"found {getattr(envelope, name)!r} in the envelope, "
            f"expected {getattr(bundle, name)!r} as in its text",
        )
        for name in ("deployment", "version", "digest")
        if getattr(envelope, name) != getattr(bundle, name)
    ]
    return Failure(mistakes) if mistakes else Success(bundle)


def _with_digest(bundle):
    bundle.digest = content_digest(bundle_content(bundle))
    return bundle
