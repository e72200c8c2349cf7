"""How long the texts of replaced tables are kept."""

__all__ = ["TextRetention", "text_key", "text_prefix"]

_KEPT_S = 5.0
"""After its replacement, in seconds. Processes use an index that a majority confirmed
up to two seconds ago, and then load its text within a second."""
_AGAIN_S = 30.0
"""Between two attempts to remove a text, in seconds."""
_PREFIX = "table/text/"


def text_prefix():
    """Return the prefix of the keys of texts."""
    return _PREFIX


def text_key(index):
    """
    Return the key of a table's text.

    Parameters
    ----------
    index : TableIndex
        Version and digest of the table.

    Returns
    -------
    str
    """
    return f"{_PREFIX}{index.version}-{index.digest}"


class TextRetention:
    """Tells which texts nobody can need any more."""

    __slots__ = ("_replaced_s", "_tried_s")

    def __init__(self):
        self._replaced_s = {}
        self._tried_s = {}

    def note_tried(self, key, now):
        """
        Record an attempt to remove a text, which may not have reached all replicas.

        Parameters
        ----------
        key : str
            Key of the text.
        now : float
            Current time, in seconds.
        """
        self._tried_s[key] = now

    def due(self, keys, index, now):
        """
        Select the texts to be removed.

        Parameters
        ----------
        keys : iterable of str
            Keys of all stored texts.
        index : TableIndex
            A table that is stored, and not older than the one in force here. The text
            of a later one may be stored before its index, and is kept.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            Sorted.
        """
        current = text_key(index)
        replaced = [
            key for key in keys if key != current and _version(key) <= index.version
        ]
        self._replaced_s = {key: self._replaced_s.get(key, now) for key in replaced}
        self._tried_s = {
            key: tried_s
            for key, tried_s in self._tried_s.items()
            if now - tried_s < _AGAIN_S
        }
        return sorted(
            key
            for key, replaced_s in self._replaced_s.items()
            if now - replaced_s >= _KEPT_S and key not in self._tried_s
        )


def _version(key):
    version = key.removeprefix(_PREFIX).partition("-")[0]
    # What another release stored under such a key is kept.
    return int(version) if version.isdecimal() else float("inf")
