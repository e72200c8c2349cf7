"""Checker of mappings with known keys, which builds a record from them."""

from difflib import get_close_matches

from gooseberryyoke.document.collection import entries
from gooseberryyoke.document.field import INVALID, Field, register

__all__ = ["REQUIRED", "Key", "Section"]


class _Required:
    """Type of the default that marks a key without one."""

    __slots__ = ()

    def __repr__(self):
        return "REQUIRED"


REQUIRED = _Required()


class Key:
    """
    One known key of a section.

    Parameters
    ----------
    name : str
        As it stands in the document.
    field : Field
        Checks the value.
    default : object, optional
        Taken when the key is missing; a callable makes a new value each time.
    help : str
        What the value does, for the reference pages.
    into : str, optional
        Argument of the record, where the name is a word of the language (``from``).
    """

    __slots__ = ("name", "field", "default", "help", "into")

    def __init__(self, name, field, default=REQUIRED, help="", into=None):
        self.name = name
        self.field = field
        self.default = default
        self.help = help
        self.into = into or name

    def default_value(self):
        """
        Give the value of a missing key.

        Returns
        -------
        object
        """
        return self.default() if callable(self.default) else self.default


@register("section")
class Section(Field):
    """
    A mapping with known keys; any other key is refused.

    Parameters
    ----------
    build : callable
        Takes the values by keyword; usually a record class.
    *keys : Key
    """

    def __init__(self, build, *keys):
        self.build = build
        self.keys = {key.name: key for key in keys}

    def check(self, node, path, report):
        """Check a section and build its record; see `Field.check`."""
        if node.id != "mapping":
            return self.refuse(node, path, report)
        values = {}
        for name, child_path, key_node, child in entries(node, path, report):
            key = self.keys.get(name)
            if key is None:
                self._refuse_name(name, child_path, key_node, report)
                values[name] = INVALID
            else:
                values[key.into] = key.field.check(child, child_path, report)
        self._fill(values, node, path, report)
        if INVALID in values.values():
            return INVALID
        return self.build(**values)

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return f"a mapping with the keys {', '.join(self.keys)}"

    def content(self, value):
        """
        Show the keys that differ from their defaults; see `Field.content`.

        Leaving out defaults keeps the content of a document the same when a later
        release knows more keys.
        """
        return {
            key.name: key.field.content(getattr(value, key.into))
            for key in self.keys.values()
            if key.default is REQUIRED
            or getattr(value, key.into) != key.default_value()
        }

    def defaults(self):
        """
        Build the record of a section that is left out.

        Returns
        -------
        object
            For sections all of whose keys have defaults.
        """
        return self.build(
            **{key.into: key.default_value() for key in self.keys.values()}
        )

    def _refuse_name(self, name, path, node, report):
        close = get_close_matches(name, self.keys, n=1)
        hint = f"did you mean {close[0]}? " if close else ""
        message = f"unknown key; {hint}expected one of {', '.join(self.keys)}"
        report.add(path, message, node.start_mark.line + 1)

    def _fill(self, values, node, path, report):
        for key in self.keys.values():
            if key.into in values:
                continue
            if key.default is REQUIRED:
                child_path = f"{path}.{key.name}" if path else key.name
                message = f"is missing, expected {key.field.expected()}"
                report.add(child_path, message, node.start_mark.line + 1)
                values[key.into] = INVALID
            else:
                values[key.into] = key.default_value()
