"""The mistakes found so far, and the line of each path met."""

from gooseberryyoke.document.mistake import Mistake

__all__ = ["Report"]


class Report:
    """
    Collects the mistakes of one document while it is checked.

    Checks that look at several parts of a document (a class that names a service)
    run after the fields are built; the report keeps the line of each path for them.
    """

    __slots__ = ("_lines", "mistakes")

    def __init__(self):
        self.mistakes = []
        self._lines = {}

    def place(self, path, line):
        """
        Remember the line on which a path stands.

        Parameters
        ----------
        path : str
        line : int
            Counted from 1.
        """
        self._lines[path] = line

    def line(self, path):
        """
        Find the line of a path, or of its nearest parent that has one.

        Parameters
        ----------
        path : str

        Returns
        -------
        int
            0 if the document has no such path nor a parent of it.
        """
        while path and path not in self._lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self._lines.get(path, 0)

    def add(self, path, message, line=None):
        """
        Add a mistake.

        Parameters
        ----------
        path : str
        message : str
            The offending value and what was expected.
        line : int, optional
            Taken from the path if left out.
        """
        self.mistakes.append(
            Mistake(path, self.line(path) if line is None else line, message)
        )

    def in_order(self):
        """
        List the mistakes in the order of the document.

        Returns
        -------
        list of Mistake
        """
        return sorted(self.mistakes, key=lambda mistake: mistake.line)
