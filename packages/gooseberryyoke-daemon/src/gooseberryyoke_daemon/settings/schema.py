"""The keys of the settings, with their limits, defaults and meaning."""

from gooseberryyoke.bundle import ENGINE, PLAIN, Replica
from gooseberryyoke.bundle.fields import MODEL, NAME
from gooseberryyoke.document import (
    Choice,
    Flag,
    Integer,
    Key,
    ListOf,
    MapOf,
    Number,
    Section,
    Text,
)
from gooseberryyoke_daemon.logs import LOG_LEVELS
from gooseberryyoke_daemon.settings.fields import ListenField, PathField
from gooseberryyoke_daemon.settings.limits import LIMITS
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

__all__ = ["ROLES", "SETTINGS"]

ROLES = ("entry", "agent", "replica")

_URL_PATH = Text(r"/[!-~]{0,255}", "a path of a URL, such as /load")
_URL = Text(r"https?://[A-Za-z0-9.\[\]:-]{1,255}", "such as http://10.0.0.7:8000")
_INTERVAL = Number(0.01, 3600)

LISTEN = Section(
    Listen,
    Key("internal", ListenField(), help="For the system's own processes."),
    Key(
        "callers",
        ListenField(),
        default=None,
        help="For callers; needed by an entry.",
    ),
    Key(
        "operators",
        ListenField(),
        default=None,
        help="For the operators' client; needed by an entry. Keep it off networks that "
        "callers reach: bundles are signed, but the watch is open to whoever connects.",
    ),
)

TLS = Section(
    Tls,
    Key("certificate", PathField(), help="PEM file."),
    Key("key", PathField(), help="PEM file."),
)

INTERNAL_TLS = Section(
    InternalTls,
    Key(
        "certificate",
        PathField(),
        help="PEM file; the certificate names the IP number of the instance.",
    ),
    Key("key", PathField(), help="PEM file of its private key."),
    Key(
        "authority",
        PathField(),
        help="PEM file of the certificate that has signed those of all processes.",
    ),
)

SIGN_OFF = Section(
    SignOff,
    Key(
        "keys",
        MapOf(PathField(), min_items=1),
        help="Public key files in PEM, by name of the signer.",
    ),
    Key(
        "needed",
        Integer(1, 16),
        default=1,
        help="Different signers that a bundle needs.",
    ),
)

SERVER = Section(
    Server,
    Key("name", NAME, help="Unique among the servers of the service."),
    Key("address", ListenField(), help="Where the server listens."),
    Key("kind", Choice(ENGINE, PLAIN), help="As in the bundle."),
    Key("service", NAME, help="As in the bundle."),
    Key("models", ListOf(MODEL), default=(), help="Models that it runs."),
    Key(
        "load_path",
        _URL_PATH,
        default=None,
        help="Where it reports its load; if left out, load is counted by the agent.",
    ),
)

AGENT = Section(
    AgentSettings,
    Key("server", SERVER, help="The backend server beside the agent."),
    Key(
        "announce_interval_s",
        _INTERVAL,
        default=1.0,
        help="Between announcements to each entry.",
    ),
    Key(
        "report_interval_s",
        _INTERVAL,
        default=0.5,
        help="Between reads of the server's load.",
    ),
    Key(
        "heartbeat_interval_s",
        _INTERVAL,
        default=1.0,
        help="Between heartbeats on an open stream.",
    ),
    Key(
        "linger_s",
        Number(0, 3600),
        default=5.0,
        help="How long it answers for past attempts after its last stream.",
    ),
)

ENTRY = Section(
    EntrySettings,
    Key("deployment", NAME, help="Bundles of another deployment are refused."),
    Key(
        "public_url",
        _URL,
        default=None,
        help="What callers are told; if left out, made from `listen.callers`.",
    ),
    Key(
        "announce_interval_s",
        _INTERVAL,
        default=1.0,
        help="Between announcements to the other entries.",
    ),
    Key(
        "silence_s",
        _INTERVAL,
        default=4.0,
        help="After which a server or entry that hasn't announced itself is left out.",
    ),
    Key(
        "stream_silence_s",
        _INTERVAL,
        default=3.0,
        help="After which an open stream without a heartbeat counts as broken.",
    ),
    Key(
        "bundle_check_interval_s",
        _INTERVAL,
        default=1.0,
        help="Between reads of the newest bundle; well below the bundle's lease.",
    ),
)

REPLICA = Section(
    ReplicaSettings,
    Key("id", NAME, help="As in the bundle's list of replicas."),
    Key(
        "may_found",
        Flag(),
        default=False,
        help="Whether it may found the durable state if all replicas are empty. True "
        "for the first start of a deployment only: afterwards, replicas that are all "
        "empty have lost the state, and founding it anew would let calls run twice.",
    ),
)

_KNOWN_REPLICA = Section(
    Replica,
    Key("id", NAME, help="As in the bundle."),
    Key("address", ListenField(), help="Its internal address."),
)

SETTINGS = Section(
    Settings,
    Key("name", NAME, help="Unique in the deployment."),
    Key("data_centre", NAME, help="Requests stay in it where they can."),
    Key(
        "roles",
        ListOf(Choice(*ROLES), min_items=1, max_items=len(ROLES)),
        help="What the process does.",
    ),
    Key("listen", LISTEN, help="Where the process listens."),
    Key(
        "entries",
        ListOf(ListenField(), max_items=1000),
        default=(),
        help="Internal addresses of entries to announce to; needed by an agent.",
    ),
    Key(
        "replicas",
        ListOf(_KNOWN_REPLICA, max_items=11),
        default=(),
        help="Where the durable state is found before a first bundle is known; needed "
        "by an entry.",
    ),
    Key(
        "data_folder",
        PathField(),
        default=None,
        help="Folder of the durable state; needed by a replica.",
    ),
    Key(
        "internal_keys",
        PathField(),
        help="File of the keys that sign messages between the system's processes "
        "(`gooseberryyoke keys internal`).",
    ),
    Key(
        "sign_off",
        SIGN_OFF,
        default=None,
        help="Who signs bundles off; needed by an entry.",
    ),
    Key(
        "tls",
        TLS,
        default=None,
        help="Towards callers and operators; plain HTTP if left out.",
    ),
    Key(
        "internal_tls",
        INTERNAL_TLS,
        default=None,
        help="Between the system's own processes; the same for all of them. Plain HTTP "
        "with signed messages if left out.",
    ),
    Key("limits", LIMITS, default=LIMITS.defaults, help="What is taken from peers."),
    Key("log_level", Choice(*LOG_LEVELS), default="info", help="The least written."),
    Key("entry", ENTRY, default=None, help="Needed by the role `entry` only."),
    Key("agent", AGENT, default=None, help="Needed by the role `agent` only."),
    Key("replica", REPLICA, default=None, help="Needed by the role `replica` only."),
)
