"""Which processes to follow, of those that are known."""

from xxhash import xxh3_64_intdigest

__all__ = ["FollowAll", "FollowMajority", "FollowParent"]

_AVOID_S = 3.0
"""For which one that did not answer is left out while there are others. About as long
as a process takes to start again; twice as long after each further failure."""
_LONGEST_AVOID_S = 60.0


class FollowAll:
    """Follow each that is known."""

    def wanted(self, known, now):
        """
        Choose whom to follow.

        Parameters
        ----------
        known : collection of str
            Addresses.
        now : float
            In seconds.

        Returns
        -------
        set of str
        """
        return set(known)

    def answered(self, address):
        """
        Note that one has answered.

        Parameters
        ----------
        address : str
        """

    def failed(self, address, now):
        """
        Note that one did not answer.

        Parameters
        ----------
        address : str
        now : float
            In seconds.
        """


class _Ranked:
    """
    Orders addresses, those that did not answer lately last.

    Each process prefers another order (rendezvous hashing), so that the followed share
    their followers evenly, and the end of one moves only its own followers.
    """

    def __init__(self, name):
        self._name = name
        self._avoided = {}
        self._has_answer = False

    def answered(self, address):
        """
        Note that one has answered.

        Parameters
        ----------
        address : str
        """
        self._has_answer = True
        self._avoided.pop(address, None)

    def failed(self, address, now):
        """
        Note that one did not answer.

        Parameters
        ----------
        address : str
        now : float
            In seconds.
        """
        _, before_s = self._avoided.get(address, (now, _AVOID_S / 2))
        avoid_s = min(2 * before_s, _LONGEST_AVOID_S)
        self._avoided[address] = (now + avoid_s, avoid_s)

    def _is_avoided(self, address, now):
        until_s, _ = self._avoided.get(address, (now, 0.0))
        return until_s > now

    def _weight(self, address):
        return xxh3_64_intdigest(f"{self._name} {address}".encode())

    def _ranked(self, addresses, now):
        def place(address):
            return self._is_avoided(address, now), self._weight(address)

        return sorted(addresses, key=place)


class FollowMajority(_Ranked):
    """
    Follow more than half of those that are known.

    News that each tells the others reach a follower as long as one of these is well:
    fewer than half may be lost at once. All are tried until the first has answered.

    Parameters
    ----------
    name : str
        Of this process.
    """

    def wanted(self, known, now):
        """Choose whom to follow; see `FollowAll.wanted`."""
        if not self._has_answer:
            return set(known)
        return set(self._ranked(known, now)[: len(known) // 2 + 1])


class FollowParent(_Ranked):
    """
    Follow one of the entries, and a contact while no entry answers.

    Parameters
    ----------
    name : str
        Of this process.
    data_centre : str
        Whose entries come first.

    Attributes
    ----------
    entries : list of EntryPresence
        That are there.
    """

    def __init__(self, name, data_centre):
        super().__init__(name)
        self.entries = []
        self._data_centre = data_centre

    def wanted(self, known, now):
        """
        Choose whom to follow; see `FollowAll.wanted`.

        Parameters
        ----------
        known : collection of str
            Contacts, for as long as no entry can be followed.
        now : float
            In seconds.

        Returns
        -------
        set of str
        """
        there = [e for e in self.entries if not self._is_avoided(e.internal, now)]
        if there:
            return {min(there, key=self._preference).internal}
        return set(self._ranked(known, now)[:1])

    def _preference(self, entry):
        is_far = entry.data_centre != self._data_centre
        return is_far, not entry.is_open, self._weight(entry.internal)
