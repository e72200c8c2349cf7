"""Checkers of values that only settings have."""

from pathlib import Path

from gooseberryyoke.document import AddressField, register
from gooseberryyoke.document.scalar import ScalarField
from gooseberryyoke_daemon.wire import Address

__all__ = ["ListenField", "PathField"]


@register("listening address")
class ListenField(AddressField):
    """An IP number with a port, read as an `Address`."""

    def parse(self, text, quoted):
        """Read an address; see `ScalarField.parse`."""
        return Address.parse(super().parse(text, quoted))

    def content(self, value):
        """Show the address; see `Field.content`."""
        return str(value)


@register("path")
class PathField(ScalarField):
    """
    A path; one that isn't absolute starts at the folder of the document.

    Whether the file exists is looked at when it is used.
    """

    def parse(self, text, quoted):
        """Read a path; see `ScalarField.parse`."""
        if not text or "\x00" in text:
            raise ValueError(text)
        return Path(text)

    def content(self, value):
        """Show the path; see `Field.content`."""
        return str(value)

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "a path, absolute or from the folder of the settings"
