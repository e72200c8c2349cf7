"""What differs between the two example deployments."""

from gooseberryyoke.record import Record

__all__ = ["PROFILES", "Profile"]


class Profile(Record):
    """
    One deployment, as its bundle describes it.

    Parameters
    ----------
    name : str
        As in the bundle and as its folder.
    data_centres : tuple of str
        Entries and servers are dealt out to them in turn.
    engine_service, model, engines : str, str, int
        Service of the model engines, what they run, how many.
    plain_service, plain_servers : str, int
        The plain service, and how many servers it has.
    accounts : tuple of str
        Client accounts that send.
    chat_classes : tuple of (str, str or None)
        Classes of chat completions, with the label that tells them apart.
    once_class, once_path : str, str
        The class that may not be repeated, and its path in the service.
    fetch_class, fetch_path : str, str
        The class that fetches, and its path in the service.
    """

    __slots__ = (
        "name",
        "data_centres",
        "engine_service",
        "model",
        "engines",
        "plain_service",
        "plain_servers",
        "accounts",
        "chat_classes",
        "once_class",
        "once_path",
        "fetch_class",
        "fetch_path",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields.pop(name))
        if fields:
            raise TypeError(f"unknown fields {sorted(fields)}")


PROFILES = (
    Profile(
        name="celins",
        data_centres=("riga-1", "riga-2", "riga-3"),
        engine_service="draw-llm",
        model="heat-draw",
        engines=16,
        plain_service="meet-app",
        plain_servers=3,
        accounts=("riga-swimming", "daugava-meets", "open-water-series", "demo"),
        chat_classes=(
            ("draw", None),
            ("start-list", "start-list"),
            ("scratch", "scratch"),
        ),
        once_class="confirm",
        once_path="confirm",
        fetch_class="look-up",
        fetch_path="entries",
    ),
    Profile(
        name="austral",
        data_centres=("ar-central-a", "ar-central-b", "ar-central-c"),
        engine_service="drafter",
        model="uncertainty-draft",
        engines=16,
        plain_service="cert-registry",
        plain_servers=3,
        accounts=("national-metrology", "telecom-timing", "grid-operator", "demo"),
        chat_classes=(("draft", None),),
        once_class="issue",
        once_path="issue",
        fetch_class="fetch",
        fetch_path="certificates",
    ),
)
