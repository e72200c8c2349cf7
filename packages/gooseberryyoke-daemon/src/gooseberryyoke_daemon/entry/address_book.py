"""The answer to "which address": the entries that callers should use."""

__all__ = ["AddressBook"]


class AddressBook:
    """
    Entries that take new callers.

    Parameters
    ----------
    own_name : str
    own_url : str
    peers : Directory
        Announcements of the other entries.
    current_bundle : callable
        Gives the bundle in force, or None.
    clock : Clock
    default_max_age_s : float
        How long callers keep the answer while no bundle says so, in seconds.

    Attributes
    ----------
    leaving : bool
        Whether this entry is about to stop.
    """

    def __init__(
        self, own_name, own_url, peers, current_bundle, clock, default_max_age_s
    ):
        self.leaving = False
        self._own_name = own_name
        self._own_url = own_url
        self._peers = peers
        self._current_bundle = current_bundle
        self._clock = clock
        self._default_max_age_s = default_max_age_s

    @property
    def max_age_s(self):
        """How long callers may keep the answer, in seconds."""
        bundle = self._current_bundle()
        return self._default_max_age_s if bundle is None else bundle.stop.max_age_s

    def urls(self):
        """
        List base URLs, this entry's first unless it is leaving or unready.

        Returns
        -------
        list of str
        """
        own = [self._own_url] if self.unready_reason() is None else []
        return own + self.others()

    def others(self):
        """
        List the base URLs of other entries that admit requests.

        Returns
        -------
        list of str
        """
        return [
            peer.url
            for peer in self._peers.live(self._clock.now())
            if not peer.leaving and peer.bundle_version and peer.name != self._own_name
        ]

    def unready_reason(self):
        """
        Tell why callers shouldn't come here.

        Returns
        -------
        str or None
            None if they should.
        """
        if self.leaving:
            return "this entry is leaving"
        if self._current_bundle() is None:
            return "no bundle is confirmed as the newest"
        return None
