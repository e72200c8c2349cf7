"""Checker of network addresses."""

import re
from ipaddress import IPv4Address, IPv6Address

from gooseberryyoke.document.field import register
from gooseberryyoke.document.scalar import ScalarField

__all__ = ["AddressField"]

_ADDRESS = re.compile(r"(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})")
_MOST_PORT = 65535


@register("address")
class AddressField(ScalarField):
    """
    An IP number with a port, kept as text.

    Instances reach each other by IP numbers; a name would make a start depend on a
    resolver that may be cut off.

    Examples
    --------
    >>> AddressField().parse("127.0.0.1:9000", quoted=False)
    '127.0.0.1:9000'
    """

    def parse(self, text, quoted):
        """Read an address; see `ScalarField.parse`."""
        match = _ADDRESS.fullmatch(text)
        if match is None:
            raise ValueError(text)
        version_6, version_4, port = match.groups()
        if int(port) > _MOST_PORT:
            raise ValueError(text)
        if version_6 is not None:
            return f"[{IPv6Address(version_6)}]:{int(port)}"
        return f"{IPv4Address(version_4)}:{int(port)}"

    def expected(self):
        """Say what is expected; see `Field.expected`."""
        return "an IP number and port, such as 10.0.0.7:9000 or [fd00::7]:9000"
