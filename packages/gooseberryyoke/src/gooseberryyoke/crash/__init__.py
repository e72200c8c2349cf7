"""Detect and quarantine prompt parts and requests that may crash backend servers."""

from gooseberryyoke.crash.clearance import Clearance, ClearanceKind, strictest
from gooseberryyoke.crash.fingerprint import is_fingerprint, request_fingerprint
from gooseberryyoke.crash.gossip import merge_record, pack_record
from gooseberryyoke.crash.prompt import shared_parts
from gooseberryyoke.crash.requests import RequestCrashes
from gooseberryyoke.crash.suspects import Suspects
from gooseberryyoke.crash.suspicion import Suspicion
from gooseberryyoke.crash.trial_servers import TrialServers, is_trial_server

__all__ = [
    "Clearance",
    "ClearanceKind",
    "RequestCrashes",
    "Suspects",
    "Suspicion",
    "TrialServers",
    "is_fingerprint",
    "is_trial_server",
    "merge_record",
    "pack_record",
    "request_fingerprint",
    "shared_parts",
    "strictest",
]
