"""Field validator for mappings with known keys, which builds a record from them."""

from difflib import get_close_matches

from gooseberryyoke.document.collection import mapping_items
from gooseberryyoke.document.field import INVALID, Field, register

__all__ = ["REQUIRED", "Key", "Section"]


class _Required:
    """Type of the sentinel for a key without a default."""

    __slots__ = ()

    def __repr__(self):
        return "REQUIRED"


REQUIRED = _Required()


class Key:
    """
    Known key of a section.

    Parameters
    ----------
    name : str
        Name in the document.
    field : Field
        Validator of the value.
    default : object, optional
        Value if the key is missing; a callable is called for a new value each time.
    help : str
        Description of the value for the reference pages.
    into : str, optional
        Argument and attribute of the record, if it differs from the name, for example
        because the name is a Python keyword (``from``).
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
        Return the value of a missing key.

        Returns
        -------
        object
        """
        return self.default() if callable(self.default) else self.default


@register("section")
class Section(Field):
    """
    Mapping with known keys; any other key is refused.

    Parameters
    ----------
    build : callable
        Called with the values as keyword arguments; usually a record class.
    *keys : Key
        Known keys.
    """

    def __init__(self, build, *keys):
        self.build = build
        self.keys = {key.name: key for key in keys}

    def check(self, node, path, report):
        """Validate a section and build its record; see `Field.check`."""
        if node.id != "mapping":
            return self.refuse(node, path, report)
        values = {}
        for name, child_path, key_node, child in mapping_items(node, path, report):
            key = self.keys.get(name)
            if key is None:
                self._report_unknown_key(name, child_path, key_node, report)
                values[name] = INVALID
            else:
                values[key.into] = key.field.check(child, child_path, report)
        self._fill_missing_keys(values, node, path, report)
        if INVALID in values.values():
            return INVALID
        return self.build(**values)

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return f"a mapping with the keys {', '.join(self.keys)}"

    def content(self, value):
        """
        Convert all values that differ from their defaults; see `Field.content`.

        Omitting defaults keeps the content of a document unchanged when a later release
        adds keys.
        """
        return {
            key.name: key.field.content(getattr(value, key.into))
            for key in self.keys.values()
            if key.default is REQUIRED
            or getattr(value, key.into) != key.default_value()
        }

    def defaults(self):
        """
        Build the record of an omitted section.

        Returns
        -------
        object
            Record of default values. All keys of the section must have defaults.
        """
        return self.build(
            **{key.into: key.default_value() for key in self.keys.values()}
        )

    def _report_unknown_key(self, name, path, node, report):
        close = get_close_matches(name, self.keys, n=1)
        hint = f"did you mean {close[0]}? " if close else ""
        message = f"unknown key; {hint}expected one of {', '.join(self.keys)}"
        report.add(path, message, node.start_mark.line + 1)

    def _fill_missing_keys(self, values, node, path, report):
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
