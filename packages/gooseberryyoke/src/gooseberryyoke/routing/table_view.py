"""Local view of the newest route table."""

from gooseberryyoke.membership.confirmed_view import ConfirmedView
from gooseberryyoke.record import Record

__all__ = ["TableIndex", "TableView"]


class TableIndex(Record):
    """
    Version and digest that identify a table without its text.

    Parameters
    ----------
    version : int
        Version of the table.
    digest : str
        Digest of the text.
    """

    __slots__ = ("version", "digest")

    def __init__(self, version, digest):
        self.version = version
        self.digest = digest


class TableView(ConfirmedView):
    """
    Local view of the newest table that was read or received.

    Attributes
    ----------
    index : TableIndex or None
        Index of the table; None while no table is known.
    """

    __slots__ = ("index",)

    def __init__(self):
        super().__init__()
        self.index = None

    @property
    def version(self):
        """Version of the newest known table; None if there is none."""
        return None if self.index is None else self.index.version

    def update(self, index, confirmed_s):
        """
        Adopt an index that was read or received, unless its version is lower.

        Parameters
        ----------
        index : TableIndex or None
            The index; None if no table is stored.
        confirmed_s : float
            When the index was known to be the newest, on this process's clock, in
            seconds.

        Returns
        -------
        bool
            Whether the index refers to a newer table.
        """
        version = None if index is None else index.version
        if self.index is not None and (version is None or version < self.index.version):
            # The source is out of date, so its confirmation time proves nothing either.
            return False
        is_newer = version != self.version
        self.index = index
        self._confirm(confirmed_s)
        return is_newer

    def to_json(self, now):
        """
        Encode as a JSON-compatible value.

        Parameters
        ----------
        now : float
            Current time of this process's clock, in seconds.

        Returns
        -------
        list or None
            Version and digest, or None for each, and the age in milliseconds; None
            while nothing is known, not even that no table is stored.
        """
        if not self.is_known:
            return None
        index = (None, None) if self.index is None else self.index.as_list()
        return self._with_age(index, now)

    def update_from_json(self, packed, now):
        """
        Update from a value that another process encoded with `to_json`.

        Parameters
        ----------
        packed : list or None
            The received value, not yet checked; None if the sender knew nothing.
        now : float
            When the value was requested, on this process's clock, in seconds.

        Returns
        -------
        bool
            Whether it refers to a newer table.

        Raises
        ------
        TypeError, ValueError
            If the value is malformed; the view is unchanged then.
        """
        if packed is None:
            return False
        (version, digest), age_s = self._split_age(packed, 2)
        index = None
        if version is not None:
            index = TableIndex(int(version), str(digest))
        return self.update(index, now - age_s)
