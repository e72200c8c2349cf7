"""Field validators for lists and for mappings with arbitrary names."""

from gooseberryyoke.document.field import INVALID, Field, register
from gooseberryyoke.document.scalar import Name

__all__ = ["ListOf", "MapOf", "mapping_items"]


def mapping_items(node, path, report):
    """
    Iterate over a mapping and report duplicate keys and keys that aren't scalars.

    Reported keys are skipped.

    Parameters
    ----------
    node : yaml.MappingNode
    path : str
        Path of the mapping in the document.
    report : Report
        Collects the mistakes.

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
    List with items of one kind, parsed into a tuple.

    Parameters
    ----------
    item : Field
    min_items, max_items : int
        Inclusive limits of the number of items.
    """

    def __init__(self, item, min_items=0, max_items=10_000):
        self.item = item
        self.min_items = min_items
        self.max_items = max_items

    def check(self, node, path, report):
        """Validate a list; see `Field.check`."""
        if (
            node.id != "sequence"
            or not self.min_items <= len(node.value) <= self.max_items
        ):
            return self.refuse(node, path, report)
        values = []
        for index, child in enumerate(node.value):
            child_path = f"{path}[{index}]"
            values.append(self.item.check(child, child_path, report))
        return INVALID if INVALID in values else tuple(values)

    def content(self, value):
        """Convert the items to a list; see `Field.content`."""
        return [self.item.content(item) for item in value]

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return (
            f"a list of {self.min_items} to {self.max_items} items, "
            f"each {self.item.expected()}"
        )


@register("mapping")
class MapOf(Field):
    """
    Mapping from arbitrary names to values of one kind, parsed into a dict.

    Parameters
    ----------
    item : Field
    min_items, max_items : int
        Inclusive limits of the number of names.
    name : Field, optional
        Validator of the names.
    into : str, optional
        Attribute of the item's record that is set to the name.
    """

    def __init__(self, item, min_items=0, max_items=100_000, name=None, into=None):
        self.item = item
        self.min_items = min_items
        self.max_items = max_items
        self.into = into
        self.name = name or Name()

    def check(self, node, path, report):
        """Validate a mapping; see `Field.check`."""
        if (
            node.id != "mapping"
            or not self.min_items <= len(node.value) <= self.max_items
        ):
            return self.refuse(node, path, report)
        values = {}
        valid = True
        for name, child_path, key_node, child in mapping_items(node, path, report):
            key = self.name.check(key_node, child_path, report)
            value = self.item.check(child, child_path, report)
            valid = valid and key is not INVALID and value is not INVALID
            if self.into and value is not INVALID:
                setattr(value, self.into, name)
            values[name] = value
        return values if valid else INVALID

    def content(self, value):
        """Convert the values, by name; see `Field.content`."""
        return {name: self.item.content(item) for name, item in value.items()}

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return f"a mapping with {self.min_items} to {self.max_items} names"
