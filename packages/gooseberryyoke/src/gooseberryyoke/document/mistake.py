"""One mistake in a document."""

from gooseberryyoke.record import Record

__all__ = ["Mistake"]


class Mistake(Record):
    """
    One mistake in a document, placed by path and line.

    Parameters
    ----------
    path : str
        Keys and list positions from the root, as in ``classes.draw.patience[1]``;
        empty for the document itself.
    line : int
        Line of the document, counted from 1; 0 when there is none to point at.
    message : str
        The offending value and what was expected.

    Examples
    --------
    >>> print(Mistake("classes.draw.priority", 14, "found 12, expected 0 to 9"))
    classes.draw.priority: line 14: found 12, expected 0 to 9
    """

    __slots__ = ("path", "line", "message")

    def __init__(self, path, line, message):
        self.path = path
        self.line = line
        self.message = message

    def __str__(self):
        place = f"line {self.line}: " if self.line else ""
        return f"{self.path or 'document'}: {place}{self.message}"

    def to_payload(self):
        """
        Show the mistake as plain data for JSON.

        Returns
        -------
        dict
        """
        return {"path": self.path, "line": self.line, "message": self.message}

    @classmethod
    def from_payload(cls, payload):
        """
        Read a mistake from the plain data of `to_payload`.

        Parameters
        ----------
        payload : dict

        Returns
        -------
        Mistake
        """
        return cls(payload["path"], payload["line"], payload["message"])
