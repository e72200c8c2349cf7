"""The durable list of gateways: its encoding, a local view of it and its changes."""

from gooseberryyoke.membership.confirmed_view import RevisionedView
from gooseberryyoke.record import Record

__all__ = ["GatewayList", "GatewayListView", "GatewayListPlanner"]

_MAX_NAMES = 1024
_MAX_NAME_LENGTH = 128
_MAX_EXACT_INT = 2**53
"""Every JSON parser represents integers up to this limit exactly."""
_JOIN_DELAY_S = 2.0
"""How long a gateway is present before it is listed, in seconds. By then the other
gateways know it; a listed gateway may send to cold servers right after a restart."""
_REMOVAL_DELAY_S = 30.0
"""How long a gateway is absent before it is removed, in seconds. It may only have lost
contact and still send requests. The other gateways also count it for this time after
they last heard of it."""


class GatewayList(Record):
    """
    Names of the listed gateways at one revision.

    Parameters
    ----------
    revision : int
        Increases with each change; 0 before the first one.
    names : iterable of str
        Names of the gateways, in any order.
    """

    __slots__ = ("revision", "names")

    def __init__(self, revision=0, names=()):
        self.revision = revision
        self.names = tuple(sorted(names))

    def to_json(self):
        """
        Encode as a JSON-compatible value.

        Returns
        -------
        list
            Revision and list of names.
        """
        return [self.revision, list(self.names)]

    @classmethod
    def from_json(cls, packed):
        """
        Decode the result of `to_json`.

        Parameters
        ----------
        packed : object
            The received value, not yet checked.

        Returns
        -------
        GatewayList

        Raises
        ------
        ValueError
            If the value is malformed.
        """
        if not isinstance(packed, list) or len(packed) != 2:
            raise ValueError(f"{packed!r:.80} is not a pair of revision and names")
        revision, names = packed
        if type(revision) is not int or not 0 <= revision < _MAX_EXACT_INT:
            raise ValueError(f"revision {revision!r:.40} is not an integer >= 0")
        if not isinstance(names, list) or len(names) > _MAX_NAMES:
            raise ValueError(f"{names!r:.80} is not a list of up to {_MAX_NAMES} names")
        for name in names:
            if not _is_gateway_name(name):
                raise ValueError(f"{name!r:.40} is not a valid gateway name")
        if len(set(names)) != len(names):
            raise ValueError(f"revision {revision} lists a gateway twice")
        return cls(revision, names)


class GatewayListView(RevisionedView):
    """
    Local view of the newest list that was read or received.

    Attributes
    ----------
    known : GatewayList
        The list; at revision 0 while none is known.
    """

    __slots__ = ()

    def __init__(self):
        super().__init__(GatewayList())

    def to_json(self, now, known_revision=None):
        """
        Encode as a JSON-compatible value.

        Parameters
        ----------
        now : float
            Current time of this process's clock, in seconds.
        known_revision : object
            Revision that the receiver has. The names are omitted if it is the current
            one.

        Returns
        -------
        list or None
            Revision, names or None, and the age in milliseconds; None while no list is
            known.
        """
        if not self.is_known:
            return None
        revision, names = self.known.to_json()
        if type(known_revision) is int and known_revision == revision:
            names = None
        return self._with_age([revision, names], now)

    def update_from_json(self, packed, known_s):
        """
        Update from a value that another process encoded with `to_json`.

        Parameters
        ----------
        packed : object
            The received value, not yet checked; None if the sender knew no list.
        known_s : float
            Time of this process's clock to which the age refers, in seconds.

        Returns
        -------
        bool
            See `update`.

        Raises
        ------
        ValueError
            If the value is malformed or contradicts the known list; the view is
            unchanged then.
        """
        if packed is None:
            return False
        (revision, names), age_s = self._split_age(packed, 2)
        if names is None:
            if not self.is_known or revision != self.known.revision:
                # The names were omitted for a revision that this view has replaced.
                return False
            names = list(self.known.names)
        return self.update(GatewayList.from_json([revision, names]), known_s - age_s)


class GatewayListPlanner:
    """Decides which gateways to list, by the times at which each was present."""

    __slots__ = ("_present_since_s", "_last_seen_s")

    def __init__(self):
        self._present_since_s = {}
        self._last_seen_s = {}

    def observe(self, names, now):
        """
        Record which gateways are present.

        Parameters
        ----------
        names : collection of str
            Names of the gateways that are present.
        now : float
            Current time, in seconds.
        """
        present = {name for name in names if _is_gateway_name(name)}
        self._present_since_s = {
            name: self._present_since_s.get(name, now) for name in present
        }
        self._last_seen_s.update(dict.fromkeys(present, now))

    def desired(self, listed, now):
        """
        Determine which gateways to list.

        Parameters
        ----------
        listed : collection of str
            Names of the gateways that are listed now.
        now : float
            Current time, in seconds.

        Returns
        -------
        tuple of str
            Sorted names. Unless more than half of the listed gateways are present, none
            is removed: they are more likely unreachable than stopped. ``listed`` is
            kept if the new list would be too long.
        """
        listed = set(listed)
        # A gateway that was never observed here may have been present until just now.
        self._last_seen_s = {
            name: self._last_seen_s.get(name, now)
            for name in listed | self._present_since_s.keys()
        }
        joined = {
            name
            for name, since_s in self._present_since_s.items()
            if now - since_s >= _JOIN_DELAY_S
        }
        gone = {
            name for name in listed if now - self._last_seen_s[name] > _REMOVAL_DELAY_S
        }
        if 2 * len(listed & self._present_since_s.keys()) <= len(listed):
            gone = set()
        desired = (listed | joined) - gone
        return tuple(sorted(desired if len(desired) <= _MAX_NAMES else listed))


def _is_gateway_name(name):
    return (
        isinstance(name, str)
        and 0 < len(name) <= _MAX_NAME_LENGTH
        and name.isprintable()
    )
