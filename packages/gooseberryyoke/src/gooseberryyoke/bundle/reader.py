"""Parsing, validation and serialisation of bundles."""

from returns.result import Failure, Success

from gooseberryyoke.bundle.bundle import content_digest
from gooseberryyoke.bundle.consistency import CONSISTENCY_CHECKS
from gooseberryyoke.bundle.envelope import Envelope
from gooseberryyoke.bundle.schema import BUNDLE
from gooseberryyoke.document import Mistake, check_document

__all__ = ["bundle_content", "open_envelope", "parse_bundle", "make_envelope"]


def bundle_content(bundle):
    """
    Convert a bundle to plain data, without values that equal their defaults.

    Parameters
    ----------
    bundle : Bundle

    Returns
    -------
    dict
        Strings, numbers, booleans, lists and dicts; serialised as YAML, it parses to an
        equal bundle.
    """
    return BUNDLE.content(bundle)


def parse_bundle(text):
    """
    Parse and validate a bundle.

    Parameters
    ----------
    text : str
        The YAML document.

    Returns
    -------
    returns.result.Result
        ``Success`` of a `Bundle`, or ``Failure`` of a list of all `Mistake` found.
    """
    return check_document(text, BUNDLE, *CONSISTENCY_CHECKS).map(_with_digest)


def make_envelope(bundle, text, signatures=()):
    """
    Wrap the text of a bundle in an envelope.

    Parameters
    ----------
    bundle : Bundle
    text : str
        Document that the bundle was parsed from.
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
    Parse the bundle in an envelope and compare it with the signed fields.

    Signatures aren't verified; see `gooseberryyoke.bundle.signature.verify`.

    Parameters
    ----------
    envelope : Envelope

    Returns
    -------
    returns.result.Result
        ``Success`` of a `Bundle`, or ``Failure`` of a list of `Mistake`.
    """
    return parse_bundle(envelope.text).bind(
        lambda bundle: _check_envelope_fields(bundle, envelope)
    )


def _check_envelope_fields(bundle, envelope):
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
