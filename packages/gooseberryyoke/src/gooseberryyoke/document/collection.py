"""Checkers of lists and of mappings with free names."""

from gooseberryyoke.document.field import INVALID, Field, register
from gooseberryyoke.document.scalar import Name

__all__ = ["ListOf", "MapOf", "entries"]


def entries(node, path, report):
    """
    Walk over a mapping, reporting keys that stand twice or aren't plain names.

    Parameters
    ----------
    node : yaml.MappingNode
    path : str
    report : Report

    Yields
    ------
    name : str
    child_path : str
    key_node : yaml.ScalarNode
    value_node : yaml.Node
    """
    seen = {}
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        if key_node.id != "scalar":
            report.add(path, f"found a {key_node.id} as key, expected a name", line)
            continue
        name = key_node.value
        child_path = f"{path}.{name}" if path else name
        if name in seen:
            message = f"stands a second time, first on line {seen[name]}; expected once"
            report.add(child_path, message, line)
            continue
        seen[name] = line
        yield name, child_path, key_node, value_node


@register("list")
class ListOf(Field):
    """
    A list whose items are all of one kind, read as a tuple.

    Parameters
    ----------
    item : Field
    least, most : int
        Number of items.
    """

    def __init__(self, item, least=0, most=10_000):
        self.item = item
        self.least = least
        self.most = most

    def check(self, node, path, report):
        """Check a list; see `Field.check`."""
        if node.id != "sequence" or not self.least <= len(node.value) <= self.most:
            return self.refuse(node, path, report)
        values = []
        for index, child in enumerate(node.value):
            child_path = f"{path}[{index}]"
            values.append(self.item.check(child, child_path, report))
        return INVALID if INVALID in values else tuple(values)

    def content(self, value):
        """Show the items as a list; see `Field.content`."""
        return [self.item.content(item) for item in value]

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return (
            f"a list of {self.least} to {self.most} items, each {self.item.expected()}"
        )


@register("mapping")
class MapOf(Field):
    """
    A mapping from free names to values of one kind, read as a dict.

    Parameters
    ----------
    item : Field
    least, most : int
        Number of names.
    name : Field, optional
        Checker of the names.
    into : str, optional
        Field of the item's record that takes the name.
    """

    def __init__(self, item, least=0, most=100_000, name=None, into=None):
        self.item = item
        self.least = least
        self.most = most
        self.into = into
        self.name = name or Name()

    def check(self, node, path, report):
        """Check a mapping; see `Field.check`."""
        if node.id != "mapping" or not self.least <= len(node.value) <= self.most:
            return self.refuse(node, path, report)
        values = {}
        valid = True
        for name, child_path, key_node, child in entries(node, path, report):
            key = self.name.check(key_node, child_path, report)
            value = self.item.check(child, child_path, report)
            valid = valid and key is not INVALID and value is not INVALID
            if self.into and value is not INVALID:
                setattr(value, self.into, name)
            values[name] = value
        return values if valid else INVALID

    def content(self, value):
        """Show the values by name; see `Field.content`."""
        return {name: self.item.content(item) for name, item in value.items()}

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return f"a mapping with {self.least} to {self.most} names"
