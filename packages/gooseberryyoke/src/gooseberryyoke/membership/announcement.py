"""Announcements of backend servers and of entries."""

from gooseberryyoke.membership.checks import (
    is_amount,
    mistake_in_models,
    mistake_in_report,
    mistake_in_usage,
)
from gooseberryyoke.membership.exceptions import AnnouncementError
from gooseberryyoke.record import Record

__all__ = ["EntryAnnouncement", "ServerAnnouncement", "new_incarnation"]

_RANDOM_BITS = 20
_MOST_CHARACTERS = 255
_SHOWN_CHARACTERS = 300


def new_incarnation(now, rng):
    """
    Number one life of a process.

    Parameters
    ----------
    now : float
        Wall-clock time, in seconds since 1970.
    rng : random.Random
        Tells apart two lives that begin in one millisecond.

    Returns
    -------
    int
        Larger for a later life, as long as the instance's clock isn't set back
        by more than the time between two starts.
    """
    return (int(now * 1000) << _RANDOM_BITS) | rng.getrandbits(_RANDOM_BITS)


class _Announcement(Record):
    __slots__ = ()

    def to_json(self):
        """
        Give the fields as a JSON object.

        Returns
        -------
        dict
        """
        return self.as_dict()

    @classmethod
    def from_json(cls, body):
        """
        Read a JSON object.

        Parameters
        ----------
        body : dict

        Returns
        -------
        announcement

        Raises
        ------
        AnnouncementError
            If a field is missing, of another type or out of range.

        Notes
        -----
        Processes are restarted one by one, so that those of two releases meet. A
        field that this release doesn't know is left out, and one that an older
        release doesn't send has its default.
        """
        if not isinstance(body, dict):
            raise AnnouncementError(f"{body!r:.200} is no JSON object")
        fields = cls.DEFAULTS | body
        missing = sorted(cls.KINDS.keys() - fields.keys())
        if missing:
            raise AnnouncementError(f"{', '.join(missing)} missing")
        found = cls(**{name: fields[name] for name in cls.KINDS})
        for name, kind in cls.KINDS.items():
            value = getattr(found, name)
            if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
                raise AnnouncementError(
                    f"{name} is {value!r}, expected {kind.__name__}"
                )
        mistake = found.mistake()
        if mistake is not None:
            raise AnnouncementError(mistake[:_SHOWN_CHARACTERS])
        return found

    def mistake(self):
        """
        Check what the types of the fields don't tell.

        Returns
        -------
        str or None
            What is wrong.
        """
        if not 0 < len(self.name) <= _MOST_CHARACTERS:
            return f"name has {len(self.name)} characters"
        if self.incarnation < 0 or self.sequence < 0:
            return "incarnation or sequence is below 0"
        return None


class ServerAnnouncement(_Announcement):
    """
    What an agent says of its backend server.

    Parameters
    ----------
    name : str
        Name of the backend server, unique in the deployment.
    incarnation : int
        Life of the agent, from `new_incarnation`.
    sequence : int
        Number of the announcement within the incarnation.
    data_centre : str
    service : str
        Service that the server belongs to.
    models : list of str
        Models it can serve; empty for a plain service.
    address : str
        Where its agent takes attempts, as ``host:port``.
    leaving : bool
        Whether it takes no new work.
    report : dict
        Latest load report, as the backend server gave it; empty if none.
    report_age_s : float
        Age of the report when the announcement was made, in seconds.
    bundle_version : int
        Highest version that any entry has told the agent; 0 if none has.
    """

    __slots__ = (
        "name",
        "incarnation",
        "sequence",
        "data_centre",
        "service",
        "models",
        "address",
        "leaving",
        "report",
        "report_age_s",
        "bundle_version",
    )
    KINDS = {
        "name": str,
        "incarnation": int,
        "sequence": int,
        "data_centre": str,
        "service": str,
        "models": list,
        "address": str,
        "leaving": bool,
        "report": dict,
        "report_age_s": float,
        "bundle_version": int,
    }
    DEFAULTS = {"bundle_version": 0}

    def __init__(
        self,
        name,
        incarnation,
        sequence,
        data_centre,
        service,
        models,
        address,
        leaving,
        report,
        report_age_s,
        bundle_version,
    ):
        self.name = name
        self.incarnation = incarnation
        self.sequence = sequence
        self.data_centre = data_centre
        self.service = service
        self.models = models
        self.address = address
        self.leaving = leaving
        self.report = report
        self.report_age_s = report_age_s
        self.bundle_version = bundle_version

    def mistake(self):
        """See the base class; also models, report and its age."""
        if not is_amount(self.report_age_s):
            return f"report_age_s is {self.report_age_s!r}, expected seconds"
        if self.bundle_version < 0:
            return f"bundle_version is {self.bundle_version}, expected 0 or more"
        return (
            super().mistake()
            or mistake_in_models(self.models)
            or mistake_in_report(self.report)
        )


class EntryAnnouncement(_Announcement):
    """
    What an entry says of itself to the others.

    Parameters
    ----------
    name : str
        Name of the process.
    incarnation, sequence : int
        As for `ServerAnnouncement`.
    data_centre : str
    url : str
        Base URL for callers.
    leaving : bool
        Whether callers should choose another entry.
    bundle_version : int
        Version in force at this entry; 0 if it admits nothing.
    usage : dict
        What accounts use there, as `gooseberryyoke.admission.Admission.usage`
        tells, so that a share counts over all entries.
    """

    __slots__ = (
        "name",
        "incarnation",
        "sequence",
        "data_centre",
        "url",
        "leaving",
        "bundle_version",
        "usage",
    )
    KINDS = {
        "name": str,
        "incarnation": int,
        "sequence": int,
        "data_centre": str,
        "url": str,
        "leaving": bool,
        "bundle_version": int,
        "usage": dict,
    }
    DEFAULTS = {"usage": {}}

    def __init__(
        self,
        name,
        incarnation,
        sequence,
        data_centre,
        url,
        leaving,
        bundle_version,
        usage,
    ):
        self.name = name
        self.incarnation = incarnation
        self.sequence = sequence
        self.data_centre = data_centre
        self.url = url
        self.leaving = leaving
        self.bundle_version = bundle_version
        self.usage = usage

    def mistake(self):
        """See the base class; also version and usage."""
        if self.bundle_version < 0:
            return f"bundle_version is {self.bundle_version}, expected 0 or more"
        return super().mistake() or mistake_in_usage(self.usage)
