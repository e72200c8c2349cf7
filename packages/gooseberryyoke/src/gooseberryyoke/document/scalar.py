"""Field validators for texts, numbers, flags and choices."""

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
    Validator of one scalar; subclasses implement `parse`.

    The text is parsed as written in the document, because YAML 1.1 would resolve an
    unquoted ``22:00`` to the number 1320 and ``no`` to false.
    """

    def check(self, node, path, report):
        """Validate one scalar; see `Field.check`."""
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
        Convert the text of a scalar to its value.

        Parameters
        ----------
        text : str
        quoted : bool
            Whether the scalar is quoted in the document.

        Returns
        -------
        object

        Raises
        ------
        ValueError
            If the text isn't a valid value of the field.
        """
        raise NotImplementedError


@register("text")
class Text(ScalarField):
    """
    Text that fully matches a pattern.

    Parameters
    ----------
    pattern : str, optional
        Regular expression for the entire text.
    description : str, optional
        Description of the pattern, phrased to follow "expected" in a message.
    """

    def __init__(
        self, pattern=r"[^\x00-\x1f\x7f]{1,1024}", description="a line of text"
    ):
        self._pattern = re.compile(pattern)
        self._description = description

    def parse(self, text, quoted):
        """Parse a text; see `ScalarField.parse`."""
        if not self._pattern.fullmatch(text):
            raise ValueError(text)
        return text

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return self._description


@register("name")
class Name(Text):
    """Name that is valid in paths, file names, headers and metrics."""

    def __init__(self):
        super().__init__(
            NAME_PATTERN, "a name of 1 to 63 letters, digits, '.', '_' or '-'"
        )


@register("whole number")
class Integer(ScalarField):
    """
    Whole number within limits.

    Parameters
    ----------
    minimum, maximum : int
        Inclusive limits.
    """

    def __init__(self, minimum=0, maximum=2**53):
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, text, quoted):
        """Parse a whole number; see `ScalarField.parse`."""
        if quoted or not _INTEGER.fullmatch(text):
            raise ValueError(text)
        value = int(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return f"a whole number from {self.minimum} to {self.maximum}"


@register("number")
class Number(ScalarField):
    """
    Finite number within limits, always parsed into a float.

    Parameters
    ----------
    minimum, maximum : float
        Inclusive limits.
    """

    def __init__(self, minimum=0, maximum=1e15):
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, text, quoted):
        """Parse a number; see `ScalarField.parse`."""
        if quoted or not _NUMBER.fullmatch(text):
            raise ValueError(text)
        value = float(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"


@register("flag")
class Flag(ScalarField):
    """Boolean, written as ``true`` or ``false``."""

    def parse(self, text, quoted):
        """Parse a flag; see `ScalarField.parse`."""
        if quoted or text not in ("true", "false"):
            raise ValueError(text)
        return text == "true"

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return "true or false"


@register("choice")
class Choice(ScalarField):
    """
    One of a fixed set of names.

    Parameters
    ----------
    *names : str
        Allowed names.
    """

    def __init__(self, *names):
        self.names = names

    def parse(self, text, quoted):
        """Parse one of the names; see `ScalarField.parse`."""
        if text not in self.names:
            raise ValueError(text)
        return text

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return f"one of {', '.join(self.names)}"
