"""Announcements of backend servers and of entries."""

from gooseberryyoke.membership.checks import (
    find_models_error,
    find_report_error,
    find_usage_error,
    is_amount,
)
from gooseberryyoke.membership.exceptions import AnnouncementError
from gooseberryyoke.record import Record

__all__ = ["EntryAnnouncement", "ServerAnnouncement", "new_incarnation"]

_RANDOM_BITS = 20
_MAX_NAME_LENGTH = 255
_MAX_MESSAGE_LENGTH = 300
_MAX_CRASH_RECORDS = 64


def new_incarnation(now, rng):
    """
    Create the incarnation number of a process that starts.

    Parameters
    ----------
    now : float
        Wall-clock time, in seconds since 1970.
    rng : random.Random
        Source of the low bits, which distinguish two incarnations that start in the
        same millisecond.

    Returns
    -------
    int
        Larger for a later incarnation, as long as the instance's clock is not set back
        by more than the time between two starts.
    """
    return (int(now * 1000) << _RANDOM_BITS) | rng.getrandbits(_RANDOM_BITS)


class _Announcement(Record):
    __slots__ = ()

    def to_json(self):
        """
        Encode the fields as a JSON object.

        Returns
        -------
        dict
        """
        return self.as_dict()

    @classmethod
    def from_json(cls, body):
        """
        Decode a JSON object.

        Parameters
        ----------
        body : dict
            The received object, not yet checked.

        Returns
        -------
        ServerAnnouncement or EntryAnnouncement

        Raises
        ------
        AnnouncementError
            If a field is missing, of another type or out of range.

        Notes
        -----
        Processes are restarted one by one, so that two releases run at the same time. A
        field that this release does not know is ignored, and a field that an older
        release does not send gets its default.
        """
        if not isinstance(body, dict):
            raise AnnouncementError(f"{body!r:.200} is no JSON object")
        fields = cls.FIELD_DEFAULTS | body
        missing = sorted(cls.FIELD_TYPES.keys() - fields.keys())
        if missing:
            raise AnnouncementError(f"{', '.join(missing)} missing")
        announcement = cls(**{name: fields[name] for name in cls.FIELD_TYPES})
        for name, expected_type in cls.FIELD_TYPES.items():
            value = getattr(announcement, name)
            if not isinstance(value, expected_type) or (
                expected_type is int and isinstance(value, bool)
            ):
                raise AnnouncementError(
                    f"{name} is {value!r}, expected {expected_type.__name__}"
                )
        error = announcement.find_error()
        if error is not None:
            raise AnnouncementError(error[:_MAX_MESSAGE_LENGTH])
        return announcement

    def find_error(self):
        """
        Find an error beyond the types of the fields.

        Returns
        -------
        str or None
            Description of the error; None if the announcement is valid.
        """
        if not 0 < len(self.name) <= _MAX_NAME_LENGTH:
            return f"name has {len(self.name)} characters"
        if self.incarnation < 0 or self.sequence < 0:
            return "incarnation or sequence is below 0"
        return None


class ServerAnnouncement(_Announcement):
    """
    Announcement that an agent makes of its backend server.

    Parameters
    ----------
    name : str
        Name of the backend server, unique in the deployment.
    incarnation : int
        Incarnation of the agent, from `new_incarnation`.
    sequence : int
        Number of the announcement within the incarnation.
    data_centre : str
    service : str
        Service that the server belongs to.
    models : list of str
        Models that it can serve; empty for a service without models.
    address : str
        Address at which its agent accepts attempts, as ``host:port``.
    leaving : bool
        Whether it accepts no new requests.
    report : dict
        Latest load report, as received from the backend server; empty if none.
    report_age_s : float
        Age of the report when the announcement was made, in seconds.
    bundle_version : int
        Highest bundle version that the agent received from any entry; 0 if none.
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
    FIELD_TYPES = {
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
    FIELD_DEFAULTS = {"bundle_version": 0}

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

    def find_error(self):
        """Find an error in the fields of the base class or of a backend server."""
        if not is_amount(self.report_age_s):
            return f"report_age_s is {self.report_age_s!r}, expected seconds"
        if self.bundle_version < 0:
            return f"bundle_version is {self.bundle_version}, expected 0 or more"
        return (
            super().find_error()
            or find_models_error(self.models)
            or find_report_error(self.report)
        )


class EntryAnnouncement(_Announcement):
    """
    Announcement that an entry makes of itself to the other entries.

    Parameters
    ----------
    name : str
        Name of the process.
    incarnation, sequence : int
        Incarnation of the process and number of the announcement, as for
        `ServerAnnouncement`.
    data_centre : str
    url : str
        Base URL that callers use.
    leaving : bool
        Whether callers should choose another entry.
    bundle_version : int
        Bundle version in force at this entry; 0 if it admits no requests.
    usage : dict
        Usage by the accounts there, as returned by
        `gooseberryyoke.admission.Admission.usage`, so that the share of an account is
        computed over all entries.
    crashes : list
        Requests under which servers have crashed, as packed by
        `gooseberryyoke.crash.pack_record`.
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
        "crashes",
    )
    FIELD_TYPES = {
        "name": str,
        "incarnation": int,
        "sequence": int,
        "data_centre": str,
        "url": str,
        "leaving": bool,
        "bundle_version": int,
        "usage": dict,
        "crashes": list,
    }
    FIELD_DEFAULTS = {"usage": {}, "crashes": []}

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
        crashes=(),
    ):
        self.crashes = list(crashes)
        self.name = name
        self.incarnation = incarnation
        self.sequence = sequence
        self.data_centre = data_centre
        self.url = url
        self.leaving = leaving
        self.bundle_version = bundle_version
        self.usage = usage

    def to_json(self):
        """Encode the fields as a JSON object, without an empty list of crashes."""
        body = self.as_dict()
        if not self.crashes:
            del body["crashes"]
        return body

    def find_error(self):
        """Find an error in the fields of the base class or of an entry."""
        if self.bundle_version < 0:
            return f"bundle_version is {self.bundle_version}, expected 0 or more"
        if len(self.crashes) > _MAX_CRASH_RECORDS:
            return f"{len(self.crashes)} records of crashes"
        return super().find_error() or find_usage_error(self.usage)
