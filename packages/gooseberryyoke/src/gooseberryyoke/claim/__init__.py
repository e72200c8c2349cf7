"""Claims: at-most-once execution of requests by idempotency key."""

from gooseberryyoke.claim.claim import (
    Claim,
    ClaimState,
    StoredAnswer,
    claim_key,
    claim_prefix,
    decode_answer,
    decode_claim,
    encode_answer,
    encode_claim,
    make_stored_answer,
)
from gooseberryyoke.claim.decisions import (
    QueryAgent,
    RejectMayHaveRun,
    RejectMismatch,
    Release,
    ReplayAnswer,
    Reserve,
    Settle,
    Wait,
    decide_on_claim,
    decide_on_outcome,
    is_expired,
)
from gooseberryyoke.claim.exceptions import MalformedClaimError
from gooseberryyoke.claim.ledger import (
    AttemptLedger,
    AttemptOutcome,
    AttemptState,
    StartRefused,
)

__all__ = [
    "AttemptLedger",
    "AttemptOutcome",
    "AttemptState",
    "Claim",
    "ClaimState",
    "MalformedClaimError",
    "QueryAgent",
    "RejectMayHaveRun",
    "RejectMismatch",
    "Release",
    "ReplayAnswer",
    "Reserve",
    "Settle",
    "StartRefused",
    "StoredAnswer",
    "Wait",
    "claim_key",
    "claim_prefix",
    "decide_on_claim",
    "decide_on_outcome",
    "decode_answer",
    "decode_claim",
    "encode_answer",
    "encode_claim",
    "is_expired",
    "make_stored_answer",
]
