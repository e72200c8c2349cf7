"""Claims: requests that may run at most once, and the proof of what ran."""

from gooseberryyoke.claim.claim import (
    Claim,
    ClaimState,
    KeptAnswer,
    claim_key,
    claim_prefix,
    decode_answer,
    decode_claim,
    encode_answer,
    encode_claim,
    keep_answer,
)
from gooseberryyoke.claim.decisions import (
    AnswerAgain,
    AskAgent,
    Release,
    Reserve,
    Settle,
    TellMayHaveRun,
    TellMismatch,
    Wait,
    decide_on_claim,
    decide_on_outcome,
    is_expired,
)
from gooseberryyoke.claim.exceptions import UnreadableClaim
from gooseberryyoke.claim.ledger import (
    AttemptLedger,
    AttemptOutcome,
    AttemptState,
    TakeRefused,
)

__all__ = [
    "AnswerAgain",
    "AskAgent",
    "AttemptLedger",
    "AttemptOutcome",
    "AttemptState",
    "Claim",
    "ClaimState",
    "KeptAnswer",
    "Release",
    "Reserve",
    "Settle",
    "TakeRefused",
    "TellMayHaveRun",
    "TellMismatch",
    "UnreadableClaim",
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
    "keep_answer",
]
