"""Document schema of accounts, services and request classes."""

from gooseberryyoke.bundle.account import Account
from gooseberryyoke.bundle.fields import (
    METHOD,
    MODEL,
    NAME,
    PATH,
    PATIENCE_S,
    SHA256,
)
from gooseberryyoke.bundle.patience import Patience, PatienceWindow
from gooseberryyoke.bundle.recognition import Recognition
from gooseberryyoke.bundle.request_class import RequestClass
from gooseberryyoke.bundle.service import ENGINE, PLAIN, Service
from gooseberryyoke.document import (
    Choice,
    Flag,
    Integer,
    Key,
    ListOf,
    MapOf,
    Number,
    Section,
    TimeOfDay,
    TimeZone,
)

__all__ = ["ACCOUNT", "CLASS", "SERVICE"]

_LOWEST_PRIORITY = 9
_MAX_KEYS = 16

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
    Key("patience_s", PATIENCE_S, help="How long a caller waits for the whole answer."),
)
_WINDOWS = ListOf(WINDOW, max_items=48)

PATIENCE = Section(
    Patience,
    Key("windows", _WINDOWS, default=(), help="Patience by local hour."),
    Key(
        "default_s",
        PATIENCE_S,
        default=None,
        help="Outside of these windows; if left out, as the class says.",
    ),
)

ACCOUNT = Section(
    Account,
    Key(
        "key_hashes",
        ListOf(SHA256, min_items=1, max_items=_MAX_KEYS),
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
        ListOf(MODEL, max_items=256),
        default=(),
        help="Models that the engines run; none for a plain service.",
    ),
)

RECOGNITION = Section(
    Recognition,
    Key("path_prefix", PATH, default=None, help="Whole first segments of the path."),
    Key("method", METHOD, default=None, help="HTTP method."),
    Key("model", MODEL, default=None, help="Model that a chat completion names."),
    Key(
        "label",
        NAME,
        default=None,
        help="Value of the header `Gooseberryyoke-Class` or of `metadata.class` in a "
        "chat completion.",
    ),
)

CLASS = Section(
    RequestClass,
    Key("service", NAME, help="The service that answers."),
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
        PATIENCE_S,
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
