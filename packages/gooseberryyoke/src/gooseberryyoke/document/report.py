"""The mistakes found so far, and the lines of paths."""

import re

from gooseberryyoke.document.mistake import Mistake

__all__ = ["Report"]

_NAME_END = re.compile(r"(?=[.\[])|\Z")


class Report:
    """
    Collects the mistakes of one document while it is checked.

    Checks that look at several parts of a document (a class that names a service)
    run after the fields are built; the report finds the lines for them.

    Attributes
    ----------
    mistakes : list of Mistake
    root : yaml.Node or None
        Of the document, once it is read.
    """

    __slots__ = ("_indexes", "mistakes", "root")

    def __init__(self):
        self.mistakes = []
        self.root = None
        self._indexes = {}

    def line(self, path):
        """
        Find the line of a path, or of its nearest parent that the document has.

        Parameters
        ----------
        path : str

        Returns
        -------
        int
            Counted from 1; 0 if there is no document.
        """
        if self.root is None:
            return 0
        return self._follow(self.root, self.root.start_mark.line + 1, path)[1]

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

    def _follow(self, node, line, path):
        """Follow a path as far as it goes; what is left of it, and the line reached."""
        ends = [self._follow(*step) for step in self._steps(node, path)]
        return min(ends, key=lambda end: len(end[0]), default=(path, line))

    def _steps(self, node, path):
        if node.id == "mapping":
            path = path.removeprefix(".")
            index = self._index(node)
            # Names may hold dots, so that several may fit: m.a.b is b in a, or a.b.
            for end in _NAME_END.finditer(path):
                if path[: end.start()] in index:
                    key, child = index[path[: end.start()]]
                    yield child, key.start_mark.line + 1, path[end.start() :]
        elif node.id == "sequence" and path.startswith("["):
            number, _, rest = path[1:].partition("]")
            if int(number) < len(node.value):
                child = node.value[int(number)]
                yield child, child.start_mark.line + 1, rest

    def _index(self, node):
        # Thousands of accounts may each have a mistake; looking through all of them
        # for each would take minutes.
        index = self._indexes.get(id(node))
        if index is None:
            index = {key.value: (key, child) for key, child in node.value}
            self._indexes[id(node)] = index
        return index
