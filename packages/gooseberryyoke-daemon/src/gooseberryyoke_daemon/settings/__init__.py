"""Settings of one process, read from YAML and checked as a whole."""

from gooseberryyoke_daemon.settings.internal_keys import (
    internal_keys_text,
    load_internal_keys,
)
from gooseberryyoke_daemon.settings.reader import load_settings, parse_settings
from gooseberryyoke_daemon.settings.record import (
    InternalTls,
    Listen,
    Settings,
    SignOff,
    Tls,
)
from gooseberryyoke_daemon.settings.roles import (
    AgentSettings,
    EntrySettings,
    ReplicaSettings,
    Server,
)
from gooseberryyoke_daemon.settings.sign_off_keys import load_sign_off_keys
from gooseberryyoke_daemon.settings.tls import load_tls

__all__ = [
    "InternalTls",
    "AgentSettings",
    "EntrySettings",
    "Listen",
    "ReplicaSettings",
    "Server",
    "Settings",
    "SignOff",
    "Tls",
    "internal_keys_text",
    "load_internal_keys",
    "load_settings",
    "load_sign_off_keys",
    "load_tls",
    "parse_settings",
]
