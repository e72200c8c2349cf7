"""Mistakes found in a document."""

from gooseberryyoke.record import Record

__all__ = ["Mistake"]


class Mistake(Record):
    """
    Mistake in a document, located by path and line.

    Parameters
    ----------
    path : str
        Keys and list positions from the root, as in ``classes.draw.patience[1]``;
        empty for the document itself.
    line : int
        Line of the document, counted from 1; 0 if there is no matching line.
    message : str
        Invalid value and the expectation.

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
        location = f"line {self.line}: " if self.line else ""
        return f"{self.path or 'document'}: {location}{self.message}"

    def to_payload(self):
        """
        Convert the mistake to plain data for JSON.

        Returns
        -------
        dict
        """
        return {"path": self.path, "line": self.line, "message": self.message}

    @classmethod
    def from_payload(cls, payload):
        """
        Create a mistake from the plain data of `to_payload`.

        Parameters
        ----------
        payload : dict

        Returns
        -------
        Mistake
        """
        return cls(payload["path"], payload["line"], payload["message"])
