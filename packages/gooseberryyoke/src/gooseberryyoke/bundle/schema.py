"""The keys of a bundle, with their limits, defaults and meaning."""

from gooseberryyoke.bundle.account import Account
from gooseberryyoke.bundle.bundle import Bundle
from gooseberryyoke.bundle.patience import Patience, PatienceWindow
from gooseberryyoke.bundle.provision import (
    Durable,
    Placement,
    Replica,
    RetryLimits,
    Stop,
)
from gooseberryyoke.bundle.recognition import Recognition
from gooseberryyoke.bundle.request_class import RequestClass
from gooseberryyoke.bundle.service import ENGINE, PLAIN, Service
from gooseberryyoke.document import (
    AddressField,
    Choice,
    Flag,
    Integer,
    Key,
    ListOf,
    MapOf,
    Name,
    Number,
    Section,
    Text,
    TimeOfDay,
    TimeZone,
)

__all__ = ["BUNDLE"]

_LEAST_PATIENCE_S = 0.05
_MOST_PATIENCE_S = 86_400
_LOWEST_PRIORITY = 9
_MOST_REPLICAS = 11
_MOST_KEYS = 16
_DAY_S = 86_400

_NAME = Name()
_MODEL = Text(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}", "the name of a model")
_SHA256 = Text(r"[0-9a-f]{64}", "a SHA-256 of 64 hexadecimal digits in lower case")
_METHOD = Text(r"[A-Z]{3,16}", "an HTTP method in capitals")
_PATH = Text(
    r"(/[A-Za-z0-9._~!$&'()*+,=:@-]+)+",
    "a path such as /v1/services/meet-app, not encoded, without a last slash",
)
_PATIENCE = Number(_LEAST_PATIENCE_S, _MOST_PATIENCE_S)

WINDOW = Section(
    PatienceWindow,
    Key("from", TimeOfDay(), help="First local minute.", into="start_minute"),
    Key(
        "until",
        TimeOfDay(),
        help="First local minute after the window; earlier than `from` for a window "
        "over midnight.",
        into="until_minute",
    ),
    Key("patience_s", _PATIENCE, help="How long a caller waits for the whole answer."),
)
_WINDOWS = ListOf(WINDOW, most=48)

PATIENCE = Section(
    Patience,
    Key("windows", _WINDOWS, default=(), help="Patience by local hour."),
    Key(
        "default_s",
        _PATIENCE,
        default=None,
        help="Outside of these windows; if left out, as the class says.",
    ),
)

ACCOUNT = Section(
    Account,
    Key(
        "key_hashes",
        ListOf(_SHA256, least=1, most=_MOST_KEYS),
        help="SHA-256 of each bearer key (`gooseberryyoke keys account`).",
    ),
    Key(
        "share",
        Number(0.001, 1e6),
        default=1.0,
        help="Weight among accounts that wait for the same service.",
    ),
    Key(
        "rate_per_s",
        Number(0.001, 1e6),
        default=None,
        help="Requests a second that the account is expected to stay under; a hint for "
        "planning, nothing is refused for it.",
    ),
    Key(
        "burst",
        Number(1, 1e6),
        default=None,
        help="Requests that may come at once; a hint as well.",
    ),
    Key(
        "time_zone",
        TimeZone(),
        default=None,
        help="Where the account's hours are counted; if left out, the bundle's.",
    ),
    Key(
        "patience",
        MapOf(PATIENCE),
        default=dict,
        help="By name of the class; goes before the patience of the class.",
    ),
)

SERVICE = Section(
    Service,
    Key("kind", Choice(ENGINE, PLAIN), help="Model engines, or other HTTP services."),
    Key(
        "models",
        ListOf(_MODEL, most=256),
        default=(),
        help="Models that the engines run; none for a plain service.",
    ),
)

RECOGNITION = Section(
    Recognition,
    Key("path_prefix", _PATH, default=None, help="Whole first segments of the path."),
    Key("method", _METHOD, default=None, help="HTTP method."),
    Key("model", _MODEL, default=None, help="Model that a chat completion names."),
    Key(
        "label",
        _NAME,
        default=None,
        help="Value of the header `Gooseberryyoke-Class` or of `metadata.class` in a "
        "chat completion.",
    ),
)

CLASS = Section(
    RequestClass,
    Key("service", _NAME, help="The service that answers."),
    Key(
        "match",
        RECOGNITION,
        help="How requests are recognised. Of several classes that match, the longest "
        "path wins, then the one that asks for a model, a method, a label.",
        into="recognition",
    ),
    Key(
        "repeatable",
        Flag(),
        help="Whether a request may run more than once. If false, callers must send an "
        "`Idempotency-Key`.",
    ),
    Key(
        "default_patience_s",
        _PATIENCE,
        help="How long a caller waits for the whole answer outside of the windows.",
    ),
    Key("patience", _WINDOWS, default=(), help="By local hour.", into="windows"),
    Key(
        "priority",
        Integer(0, _LOWEST_PRIORITY),
        default=5,
        help="0 is served first.",
    ),
)

REPLICA = Section(
    Replica,
    Key("id", _NAME, help="Never used again for another data folder."),
    Key("address", AddressField(), help="Where entries reach the replica."),
)

DURABLE = Section(
    Durable,
    Key(
        "replicas",
        ListOf(REPLICA, least=1, most=_MOST_REPLICAS),
        help="Change one at a time.",
    ),
    Key(
        "claim_retention_s",
        Number(60, 90 * _DAY_S),
        default=float(_DAY_S),
        help="How long the answer to a call that may not be repeated is kept; longer "
        "than any caller goes on trying.",
    ),
    Key(
        "bundle_lease_s",
        Number(0.5, 60),
        default=4.0,
        help="How long an entry serves by a bundle that it can't confirm as the "
        "newest.",
    ),
)

RETRIES = Section(
    RetryLimits,
    Key("ratio", Number(0, 1), default=0.1, help="Retries allowed for each request."),
    Key(
        "minimum_per_s",
        Number(0, 1000),
        default=1.0,
        help="Retries a second allowed at any load.",
    ),
    Key(
        "attempts",
        Integer(1, 10),
        default=3,
        help="Most attempts of one request, the first one included.",
    ),
)

PLACEMENT = Section(
    Placement,
    Key(
        "skew_weight",
        Number(0, 1e9),
        default=1.0,
        help="Cost of a second that the slowest rank adds to steps in an hour.",
    ),
    Key(
        "move_cost_weight",
        Number(0, 1e9),
        default=1.0,
        help="Cost of moving one expert.",
    ),
    Key(
        "moves_per_hour",
        Integer(0, 1_000_000),
        default=60,
        help="Most moves of experts in an hour, for one group.",
    ),
    Key(
        "weight_store_bytes_per_s",
        Number(1, 1e13),
        default=1e9,
        help="Rate at which the weight store may be read for moves.",
    ),
)

STOP = Section(
    Stop,
    Key(
        "max_age_s",
        Number(1, 3600),
        default=10.0,
        help="How long callers keep the answer to `GET /v1/entries`; an entry that "
        "stops accepts requests for as long.",
    ),
    Key(
        "drain_s",
        Number(0, 86_400),
        default=600.0,
        help="Longest wait for requests in flight after that.",
    ),
)

BUNDLE = Section(
    Bundle,
    Key(
        "version",
        Integer(1, 2**53),
        help="Higher than that of any bundle rolled before.",
    ),
    Key("deployment", _NAME, help="A bundle of another deployment is refused."),
    Key("time_zone", TimeZone(), help="Where hours are counted."),
    Key("accounts", MapOf(ACCOUNT, least=1, into="name"), help="Client accounts."),
    Key("services", MapOf(SERVICE, least=1, into="name"), help="Services by name."),
    Key("classes", MapOf(CLASS, least=1, into="name"), help="Classes of requests."),
    Key("durable", DURABLE, help="The durable state."),
    Key("retries", RETRIES, default=RETRIES.defaults, help="The budget of retries."),
    Key(
        "placement",
        PLACEMENT,
        default=PLACEMENT.defaults,
        help="Placement of experts.",
    ),
    Key("stop", STOP, default=STOP.defaults, help="Planned stops."),
)
