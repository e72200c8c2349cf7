"""Parts of prompts that may crash the backend servers which work on them."""

from gooseberryyoke.crash.news import pack_record, take_record
from gooseberryyoke.crash.prompt import shared_parts
from gooseberryyoke.crash.suspects import Clearance, ClearanceKind, Suspects
from gooseberryyoke.crash.suspicion import Suspicion

__all__ = [
    "Clearance",
    "ClearanceKind",
    "Suspects",
    "Suspicion",
    "pack_record",
    "shared_parts",
    "take_record",
]
