"""Policies that select which of the known processes to follow for updates."""

from xxhash import xxh3_64_intdigest

__all__ = ["FollowAll", "FollowMajority", "FollowParent"]

_INITIAL_AVOIDANCE_S = 3.0
"""How long a process that failed to answer is avoided while there are others, in
seconds. This is about the time of a restart of a process; it doubles with each further
failure."""
_MAX_AVOIDANCE_S = 60.0
"""Upper bound of the doubled time, in seconds."""


class FollowAll:
    """Policy that follows every known process."""

    def select(self, known, now):
        """
        Select the processes to follow.

        Parameters
        ----------
        known : collection of str
            Addresses of the known processes.
        now : float
            Current time, in seconds.

        Returns
        -------
        set of str
            Addresses of the selected processes.
        """
        return set(known)

    def answered(self, address):
        """
        Record that a process answered.

        Parameters
        ----------
        address : str
            Address of the process.
        """

    def failed(self, address, now):
        """
        Record that a process failed to answer.

        Parameters
        ----------
        address : str
            Address of the process.
        now : float
            Current time, in seconds.
        """


class _RankedSelection:
    """
    Base class that orders addresses, those that recently failed to answer last.

    Each follower has its own order (rendezvous hashing), so that followers spread
    evenly, and the end of a followed process moves only its own followers.

    Parameters
    ----------
    name : str
        Name of this process.
    """

    def __init__(self, name):
        self._name = name
        self._avoided = {}
        self._has_answer = False

    def answered(self, address):
        """
        Record that a process answered.

        Parameters
        ----------
        address : str
            Address of the process.
        """
        self._has_answer = True
        self._avoided.pop(address, None)

    def failed(self, address, now):
        """
        Record that a process failed to answer.

        Parameters
        ----------
        address : str
            Address of the process.
        now : float
            Current time, in seconds.
        """
        _, previous_s = self._avoided.get(address, (now, _INITIAL_AVOIDANCE_S / 2))
        avoidance_s = min(2 * previous_s, _MAX_AVOIDANCE_S)
        self._avoided[address] = (now + avoidance_s, avoidance_s)

    def _is_avoided(self, address, now):
        until_s, _ = self._avoided.get(address, (now, 0.0))
        return until_s > now

    def _rendezvous_weight(self, address):
        return xxh3_64_intdigest(f"{self._name} {address}".encode())

    def _ranked(self, addresses, now):
        def sort_key(address):
            return self._is_avoided(address, now), self._rendezvous_weight(address)

        return sorted(addresses, key=sort_key)


class FollowMajority(_RankedSelection):
    """
    Policy that follows more than half of the known processes.

    The known processes pass updates on to each other, so that an update reaches a
    follower as long as one process that it follows works: fewer than half may be lost
    at once. All known processes are selected until the first has answered.

    Parameters
    ----------
    name : str
        Name of this process.
    """

    def select(self, known, now):
        """Select the processes to follow; see `FollowAll.select`."""
        if not self._has_answer:
            return set(known)
        return set(self._ranked(known, now)[: len(known) // 2 + 1])


class FollowParent(_RankedSelection):
    """
    Policy that follows one entry, or one contact while no entry answers.

    Contacts are the processes whose addresses are in the settings.

    Parameters
    ----------
    name : str
        Name of this process.
    data_centre : str
        Data centre whose entries are preferred.

    Attributes
    ----------
    entries : list of EntryPresence
        Entries that are present.
    """

    def __init__(self, name, data_centre):
        super().__init__(name)
        self.entries = []
        self._data_centre = data_centre

    def select(self, known, now):
        """
        Select the process to follow; see `FollowAll.select`.

        Parameters
        ----------
        known : collection of str
            Addresses of the contacts, used while no entry can be followed.
        now : float
            Current time, in seconds.

        Returns
        -------
        set of str
            One address, or none if there is no candidate.
        """
        reachable = [e for e in self.entries if not self._is_avoided(e.internal, now)]
        if reachable:
            return {min(reachable, key=self._preference).internal}
        return set(self._ranked(known, now)[:1])

    def _preference(self, entry):
        is_remote = entry.data_centre != self._data_centre
        return is_remote, not entry.is_open, self._rendezvous_weight(entry.internal)
