"""The latest announcement of each process, for as long as it is believed."""

__all__ = ["Directory"]


class Directory:
    """
    Latest announcements by name.

    Parameters
    ----------
    silence_s : float
        After how long without an announcement a process is no longer chosen,
        in seconds.
    memory_s : float
        How long the last incarnation of a silent process is remembered, in
        seconds.

    Notes
    -----
    Announcements arrive late and crossed. One with a lower incarnation or
    sequence number than the latest would bring back a server that has said
    since that it is leaving, so it is dropped. The memory of silent processes
    outlives any message in flight, for the same reason.
    """

    __slots__ = ("memory_s", "silence_s", "_heard", "_latest")

    def __init__(self, silence_s, memory_s):
        self.silence_s = silence_s
        self.memory_s = memory_s
        self._latest = {}
        self._heard = {}

    def apply(self, announcement, now):
        """
        Take an announcement.

        Parameters
        ----------
        announcement : ServerAnnouncement or EntryAnnouncement
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            False if a later one had been heard before.
        """
        known = self._latest.get(announcement.name)
        if known is not None and _order(announcement) <= _order(known):
            return False
        self._latest[announcement.name] = announcement
        self._heard[announcement.name] = now
        return True

    def live(self, now):
        """
        List the latest announcements that are not too old.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of announcements
            In the order of their names.
        """
        return [
            self._latest[name]
            for name in sorted(self._latest)
            if now - self._heard[name] <= self.silence_s
        ]

    def get(self, name):
        """Give the latest announcement of a name, or None."""
        return self._latest.get(name)

    def forget(self, now):
        """
        Drop what has been silent for longer than the memory.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of str
            The names that were dropped.
        """
        gone = [n for n, heard in self._heard.items() if now - heard > self.memory_s]
        for name in gone:
            del self._heard[name]
            del self._latest[name]
        return gone


def _order(announcement):
    return announcement.incarnation, announcement.sequence
