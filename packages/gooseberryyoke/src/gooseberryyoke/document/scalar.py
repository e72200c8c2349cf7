"""Checkers of texts, numbers, flags and choices."""

import re

from gooseberryyoke.document.field import Field, register

__all__ = [
    "NAME_PATTERN",
    "Choice",
    "Flag",
    "Integer",
    "Name",
    "Number",
    "ScalarField",
    "Text",
]

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"

_NULLS = frozenset(("", "~", "null", "Null", "NULL"))
_INTEGER = re.compile(r"-?(?:0|[1-9][0-9]{0,17})")
_NUMBER = re.compile(r"-?[0-9]{1,18}(?:\.[0-9]{1,18})?(?:e[+-]?[0-9]{1,2})?")


class ScalarField(Field):
    """
    Checker of one scalar; a subclass says how its text is read.

    The text is read as it stands in the document: YAML 1.1 would take an unquoted
    ``22:00`` for the number 1320 and ``no`` for false.
    """

    def check(self, node, path, report):
        """Check one scalar; see `Field.check`."""
        if node.id != "scalar":
            return self.refuse(node, path, report)
        quoted = node.style in ("'", '"')
        if not quoted and node.value in _NULLS:
            return self.refuse(node, path, report)
        try:
            return self.parse(node.value, quoted)
        except ValueError:
            return self.refuse(node, path, report)

    def parse(self, text, quoted):
        """
        Turn the text of a scalar into the value.

        Parameters
        ----------
        text : str
        quoted : bool
            Whether it stands in quotes.

        Returns
        -------
        object

        Raises
        ------
        ValueError
            If the text isn't what the field expects.
        """
        raise NotImplementedError


@register("text")
class Text(ScalarField):
    """
    A text that matches a pattern as a whole.

    Parameters
    ----------
    pattern : str, optional
        Regular expression.
    meaning : str, optional
        What the pattern stands for, as the end of "expected ...".
    """

    def __init__(self, pattern=r"[^\x00-\x1f\x7f]{1,1024}", meaning="a line of text"):
        self._pattern = re.compile(pattern)
        self._meaning = meaning

    def parse(self, text, quoted):
        """Read a text; see `ScalarField.parse`."""
        if not self._pattern.fullmatch(text):
            raise ValueError(text)
        return text

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return self._meaning


@register("name")
class Name(Text):
    """A name that may stand in paths, file names, headers and metrics."""

    def __init__(self):
        super().__init__(
            NAME_PATTERN, "a name of 1 to 63 letters, digits, '.', '_' or '-'"
        )


@register("whole number")
class Integer(ScalarField):
    """
    A whole number within limits.

    Parameters
    ----------
    least, most : int
        Both are allowed.
    """

    def __init__(self, least=0, most=2**53):
        self.least = least
        self.most = most

    def parse(self, text, quoted):
        """Read a whole number; see `ScalarField.parse`."""
        if quoted or not _INTEGER.fullmatch(text):
            raise ValueError(text)
        value = int(text)
        if not self.least <= value <= self.most:
            raise ValueError(text)
        return value

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return f"a whole number from {self.least} to {self.most}"


@register("number")
class Number(ScalarField):
    """
    A finite number within limits, always read as a float.

    Parameters
    ----------
    least, most : float
        Both are allowed.
    """

    def __init__(self, least=0, most=1e15):
        self.least = least
        self.most = most

    def parse(self, text, quoted):
        """Read a number; see `ScalarField.parse`."""
        if quoted or not _NUMBER.fullmatch(text):
            raise ValueError(text)
        value = float(text)
        if not self.least <= value <= self.most:
            raise ValueError(text)
        return value

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return f"a number from {self.least:g} to {self.most:g}"


@register("flag")
class Flag(ScalarField):
    """``true`` or ``false``."""

    def parse(self, text, quoted):
        """Read a flag; see `ScalarField.parse`."""
        if quoted or text not in ("true", "false"):
            raise ValueError(text)
        return text == "true"

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "true or false"


@register("choice")
class Choice(ScalarField):
    """
    One of a few names.

    Parameters
    ----------
    *names : str
    """

    def __init__(self, *names):
        self.names = names

    def parse(self, text, quoted):
        """Read one of the names; see `ScalarField.parse`."""
        if text not in self.names:
            raise ValueError(text)
        return text

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return f"one of {', '.join(self.names)}"
