"""What every checker of a value has, and the registry of their kinds."""

__all__ = ["INVALID", "Field", "field_kinds", "register", "shown"]

_SHOWN_CHARACTERS = 60
_kinds = {}


class _Invalid:
    """Type of the value that stands for one that has been reported as wrong."""

    __slots__ = ()

    def __repr__(self):
        return "INVALID"


INVALID = _Invalid()


def register(kind):
    """
    Register a checker class under the name that the reference pages use.

    Parameters
    ----------
    kind : str
        Unique name in lower case.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If another class has the name.
    """

    def _add(cls):
        if kind in _kinds:
            raise ValueError(
                f"kind {kind!r} belongs to {_kinds[kind].__name__}, expected a new one"
            )
        cls.kind = kind
        _kinds[kind] = cls
        return cls

    return _add


def field_kinds():
    """
    List the registered checker classes.

    Returns
    -------
    dict of str to type
        A copy, by kind.
    """
    return dict(_kinds)


def shown(node):
    """
    Show the value of a YAML node in a message, cut to a readable length.

    Parameters
    ----------
    node : yaml.Node

    Returns
    -------
    str
    """
    if node.id != "scalar":
        return f"a {node.id}"
    text = node.value
    if len(text) > _SHOWN_CHARACTERS:
        text = f"{text[:_SHOWN_CHARACTERS]}..."
    return repr(text) if text else "nothing"


class Field:
    """
    Checker of one value of a document.

    Subclasses are registered with `register` and implement `check` and `expected`.
    """

    kind = None

    def check(self, node, path, report):
        """
        Check a YAML node and turn it into a value.

        Parameters
        ----------
        node : yaml.Node
        path : str
            Where the node stands in the document.
        report : Report
            Takes the mistakes.

        Returns
        -------
        object
            The value, or `INVALID` once a mistake has been added.
        """
        raise NotImplementedError

    def expected(self):
        """
        Say what the field takes, as the end of "expected ...".

        Returns
        -------
        str
        """
        raise NotImplementedError

    def content(self, value):
        """
        Turn a checked value back into plain data, as it would stand in a document.

        Parameters
        ----------
        value : object
            A value that `check` gave.

        Returns
        -------
        object
            Texts, numbers, flags, lists and dicts only.
        """
        return value

    def refuse(self, node, path, report):
        """
        Add the mistake that a value isn't what the field expects.

        Parameters
        ----------
        node : yaml.Node
        path : str
        report : Report

        Returns
        -------
        object
            Always `INVALID`.
        """
        report.add(
            path,
            f"found {shown(node)}, expected {self.expected()}",
            line=node.start_mark.line + 1,
        )
        return INVALID
