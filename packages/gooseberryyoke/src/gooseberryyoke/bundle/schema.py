"""Document schema of a bundle: keys with their limits, defaults and descriptions."""

from gooseberryyoke.bundle.bundle import Bundle
from gooseberryyoke.bundle.fields import NAME
from gooseberryyoke.bundle.operations_schema import DURABLE, PLACEMENT, RETRIES, STOP
from gooseberryyoke.bundle.request_schema import ACCOUNT, CLASS, SERVICE
from gooseberryyoke.document import Integer, Key, MapOf, Section, TimeZone

__all__ = ["BUNDLE"]

BUNDLE = Section(
    Bundle,
    Key(
        "version",
        Integer(1, 2**53),
        help="Higher than that of any bundle rolled before.",
    ),
    Key("deployment", NAME, help="A bundle of another deployment is refused."),
    Key("time_zone", TimeZone(), help="Where hours are counted."),
    Key("accounts", MapOf(ACCOUNT, min_items=1, into="name"), help="Client accounts."),
    Key("services", MapOf(SERVICE, min_items=1, into="name"), help="Services by name."),
    Key("classes", MapOf(CLASS, min_items=1, into="name"), help="Classes of requests."),
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
