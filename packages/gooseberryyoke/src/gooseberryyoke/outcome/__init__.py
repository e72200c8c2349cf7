"""Verdicts on requests and the refusals that carry them."""

from gooseberryyoke.outcome.refusal import Refusal
from gooseberryyoke.outcome.verdict import Verdict

__all__ = ["Refusal", "Verdict"]
