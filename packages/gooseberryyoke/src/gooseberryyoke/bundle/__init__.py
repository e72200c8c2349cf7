"""Bundles: versioned operator configuration that is validated as a whole."""

from gooseberryyoke.bundle.account import Account, key_hash
from gooseberryyoke.bundle.bundle import Bundle
from gooseberryyoke.bundle.envelope import Envelope, Signature, SignatureProblem
from gooseberryyoke.bundle.exceptions import UnusableKeyError
from gooseberryyoke.bundle.operations import (
    DurableState,
    Placement,
    Replica,
    RetryLimits,
    Stop,
)
from gooseberryyoke.bundle.patience import Patience, PatienceWindow
from gooseberryyoke.bundle.reader import (
    bundle_content,
    make_envelope,
    open_envelope,
    parse_bundle,
)
from gooseberryyoke.bundle.recognition import Recognition, canonical_path
from gooseberryyoke.bundle.request_class import RequestClass
from gooseberryyoke.bundle.service import ENGINE, PLAIN, Service

__all__ = [
    "ENGINE",
    "PLAIN",
    "Account",
    "Bundle",
    "DurableState",
    "Envelope",
    "UnusableKeyError",
    "Patience",
    "PatienceWindow",
    "Placement",
    "Recognition",
    "Replica",
    "RequestClass",
    "RetryLimits",
    "Service",
    "Signature",
    "SignatureProblem",
    "Stop",
    "bundle_content",
    "canonical_path",
    "key_hash",
    "open_envelope",
    "parse_bundle",
    "make_envelope",
]
