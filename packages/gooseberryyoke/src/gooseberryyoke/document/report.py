"""Collection of mistakes and lookup of the line of a path."""

import re

from gooseberryyoke.document.mistake import Mistake

__all__ = ["Report"]

_NAME_END = re.compile(r"(?=[.\[])|\Z")


class Report:
    """
    Mistakes of one document, collected during its validation.

    Validators that involve several parts of a document (such as the check that the
    service of a class exists) run after the values are built and no longer have the
    YAML nodes; the report looks up the lines for them.

    Attributes
    ----------
    mistakes : list of Mistake
    root : yaml.Node or None
        Root node of the document; None until it is parsed.
    """

    __slots__ = ("_indexes", "mistakes", "root")

    def __init__(self):
        self.mistakes = []
        self.root = None
        self._indexes = {}

    def line(self, path):
        """
        Return the line of a path, or of its nearest parent in the document.

        Parameters
        ----------
        path : str

        Returns
        -------
        int
            Line counted from 1; 0 if there is no document.
        """
        if self.root is None:
            return 0
        return self._resolve(self.root, self.root.start_mark.line + 1, path)[1]

    def add(self, path, message, line=None):
        """
        Add a mistake.

        Parameters
        ----------
        path : str
        message : str
            Invalid value and the expectation.
        line : int, optional
            Looked up by the path if omitted.
        """
        self.mistakes.append(
            Mistake(path, self.line(path) if line is None else line, message)
        )

    def sorted_mistakes(self):
        """
        Return the mistakes in the order of their lines.

        Returns
        -------
        list of Mistake
        """
        return sorted(self.mistakes, key=lambda mistake: mistake.line)

    def _resolve(self, node, line, path):
        """Resolve a path as far as possible; return the remaining path and the line."""
        results = [
            self._resolve(*child) for child in self._matching_children(node, path)
        ]
        return min(results, key=lambda result: len(result[0]), default=(path, line))

    def _matching_children(self, node, path):
        if node.id == "mapping":
            path = path.removeprefix(".")
            index = self._index_by_key(node)
            # Names may contain dots, which makes some paths ambiguous: m.a.b is either
            # the key b of m.a or the key a.b of m.
            for end in _NAME_END.finditer(path):
                if path[: end.start()] in index:
                    key, child = index[path[: end.start()]]
                    yield child, key.start_mark.line + 1, path[end.start() :]
        elif node.id == "sequence" and path.startswith("["):
            number, _, rest = path[1:].partition("]")
            if int(number) < len(node.value):
                child = node.value[int(number)]
                yield child, child.start_mark.line + 1, rest

    def _index_by_key(self, node):
        # Cached, as thousands of accounts may each have a mistake; a linear search for
        # each mistake would take minutes.
        index = self._indexes.get(id(node))
        if index is None:
            index = {key.value: (key, child) for key, child in node.value}
            self._indexes[id(node)] = index
        return index
