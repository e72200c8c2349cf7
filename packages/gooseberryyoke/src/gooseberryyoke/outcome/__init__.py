"""Verdicts on whether requests ran, and refusals that contain a verdict."""

from gooseberryyoke.outcome.refusal import Refusal
from gooseberryyoke.outcome.verdict import Verdict

__all__ = ["Refusal", "Verdict"]
