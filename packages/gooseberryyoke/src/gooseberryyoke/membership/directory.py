"""Directory of the latest announcement of each process, with expiry."""

__all__ = ["Directory"]


class Directory:
    """
    Directory of the latest announcements by process name.

    Parameters
    ----------
    silence_s : float
        Time without an announcement after which a process is no longer listed as live,
        in seconds.
    retention_s : float
        How long the last announcement of a silent process is kept, in seconds.

    Notes
    -----
    Announcements arrive late and out of order. One with a lower incarnation or
    sequence number than the latest could list a server again after it has announced
    that it is leaving, so it is dropped. For the same reason the announcements of
    silent processes are kept for longer than any message is in flight.
    """

    __slots__ = ("retention_s", "silence_s", "_last_heard", "_latest")

    def __init__(self, silence_s, retention_s):
        self.silence_s = silence_s
        self.retention_s = retention_s
        self._latest = {}
        self._last_heard = {}

    def apply(self, announcement, now):
        """
        Store an announcement unless a later one is known.

        Parameters
        ----------
        announcement : ServerAnnouncement or EntryAnnouncement
            The received announcement.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            Whether it was stored; False if one as late or later is known.
        """
        known = self._latest.get(announcement.name)
        if known is not None and _order_key(announcement) <= _order_key(known):
            return False
        self._latest[announcement.name] = announcement
        self._last_heard[announcement.name] = now
        return True

    def live(self, now):
        """
        List the latest announcements of the processes that are not silent.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        list of ServerAnnouncement or EntryAnnouncement
            Sorted by name.
        """
        return [
            self._latest[name]
            for name in sorted(self._latest)
            if now - self._last_heard[name] <= self.silence_s
        ]

    def get(self, name):
        """Return the latest announcement of a process name, or None."""
        return self._latest.get(name)

    def remove_expired(self, now):
        """
        Remove the processes that have been silent for longer than the retention time.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        list of str
            The names that were removed.
        """
        expired = [
            n
            for n, last_heard in self._last_heard.items()
            if now - last_heard > self.retention_s
        ]
        for name in expired:
            del self._last_heard[name]
            del self._latest[name]
        return expired


def _order_key(announcement):
    return announcement.incarnation, announcement.sequence
