"""Base class of field validators and the registry of their kinds."""

__all__ = ["INVALID", "Field", "field_kinds", "register", "describe_node"]

_MAX_EXCERPT_CHARACTERS = 60
_classes_by_kind = {}


class _Invalid:
    """Type of the sentinel for a value that has been reported as invalid."""

    __slots__ = ()

    def __repr__(self):
        return "INVALID"


INVALID = _Invalid()


def register(kind):
    """
    Register a field class under the name that is used in the reference pages.

    Parameters
    ----------
    kind : str
        Unique name in lower case.

    Returns
    -------
    callable
        Class decorator.

    Raises
    ------
    ValueError
        If the name is already registered.
    """

    def _register_class(cls):
        if kind in _classes_by_kind:
            raise ValueError(
                f"kind {kind!r} belongs to {_classes_by_kind[kind].__name__}, "
                "expected a new one"
            )
        cls.kind = kind
        _classes_by_kind[kind] = cls
        return cls

    return _register_class


def field_kinds():
    """
    Return the registered field classes.

    Returns
    -------
    dict of str to type
        Copy of the registry, by kind.
    """
    return dict(_classes_by_kind)


def describe_node(node):
    """
    Format the value of a YAML node for a message, truncated to a readable length.

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
    if len(text) > _MAX_EXCERPT_CHARACTERS:
        text = f"{text[:_MAX_EXCERPT_CHARACTERS]}..."
    return repr(text) if text else "nothing"


class Field:
    """
    Validator of one value of a document.

    Subclasses are registered with `register` and implement `check` and `expected`.
    """

    kind = None

    def check(self, node, path, report):
        """
        Validate a YAML node and convert it to a value.

        Parameters
        ----------
        node : yaml.Node
        path : str
            Path of the node in the document.
        report : Report
            Collects the mistakes.

        Returns
        -------
        object
            The value, or `INVALID` if a mistake was added.
        """
        raise NotImplementedError

    def expected(self):
        """
        Describe the accepted values, phrased to follow "expected" in a message.

        Returns
        -------
        str
        """
        raise NotImplementedError

    def content(self, value):
        """
        Convert a validated value back to plain data, as written in a document.

        Parameters
        ----------
        value : object
            Value returned by `check`.

        Returns
        -------
        object
            Only strings, numbers, booleans, lists and dicts.
        """
        return value

    def refuse(self, node, path, report):
        """
        Report that a value doesn't meet the expectation of the field.

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
            f"found {describe_node(node)}, expected {self.expected()}",
            line=node.start_mark.line + 1,
        )
        return INVALID
