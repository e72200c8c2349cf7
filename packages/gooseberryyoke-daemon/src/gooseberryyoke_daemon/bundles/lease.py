"""The lease on "this bundle is the newest"."""

__all__ = ["BundleLease"]


class BundleLease:
    """
    The bundle in force at one entry, while that is certain.

    Notes
    -----
    An entry that is cut off from the replicas can't learn that its bundle has
    been replaced. Its lease runs from the start of the last read that confirmed
    the bundle, so that once the lease's time has passed since an acceptance, no
    entry serves by an older bundle, reached or not.
    """

    __slots__ = ("_bundle", "_until_s")

    def __init__(self):
        self._bundle = None
        self._until_s = float("-inf")

    @property
    def version(self):
        """Version of the latest bundle that was confirmed; 0 before the first."""
        return 0 if self._bundle is None else self._bundle.version

    def holds(self, version, digest):
        """Whether a bundle is the one held, in force or not."""
        held = self._bundle
        return held is not None and (held.version, held.digest) == (version, digest)

    def renew(self, read_started_s):
        """
        Extend the lease after a read that found this bundle to be the newest.

        Parameters
        ----------
        read_started_s : float
            Monotonic time at which the read began, in seconds; a bundle could be
            accepted at any moment after it.
        """
        until_s = read_started_s + self._bundle.durable.bundle_lease_s
        self._until_s = max(self._until_s, until_s)

    def install(self, bundle, read_started_s):
        """
        Put a newer bundle in force.

        Parameters
        ----------
        bundle : Bundle
        read_started_s : float
            As for `renew`.

        Returns
        -------
        bool
            False if the bundle is not newer: two reads may end crossed.
        """
        if bundle.version <= self.version:
            return False
        self._bundle = bundle
        self._until_s = read_started_s + bundle.durable.bundle_lease_s
        return True

    def end(self):
        """Stop serving by this bundle: it has been replaced."""
        self._until_s = float("-inf")

    def left_s(self, now):
        """Tell how long the lease still holds, in seconds; 0 if it doesn't."""
        return max(0.0, self._until_s - now)

    def current(self, now):
        """
        Give the bundle in force.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Bundle or None
            None if no read has confirmed it lately.
        """
        return self._bundle if now < self._until_s else None
