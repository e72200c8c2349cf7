"""Field validator for network addresses."""

import re
from ipaddress import IPv4Address, IPv6Address

from gooseberryyoke.document.field import register
from gooseberryyoke.document.scalar import ScalarField

__all__ = ["AddressField"]

_ADDRESS = re.compile(r"(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})")
_MAX_PORT = 65535


@register("address")
class AddressField(ScalarField):
    """
    IP address with a port, kept as a string.

    Host names aren't accepted: instances connect to each other by IP address, so that
    startup doesn't depend on a name resolver that may be unreachable.

    Examples
    --------
    >>> AddressField().parse("127.0.0.1:9000", quoted=False)
    '127.0.0.1:9000'
    """

    def parse(self, text, quoted):
        """Parse an address; see `ScalarField.parse`."""
        match = _ADDRESS.fullmatch(text)
        if match is None:
            raise ValueError(text)
        ipv6, ipv4, port = match.groups()
        if int(port) > _MAX_PORT:
            raise ValueError(text)
        if ipv6 is not None:
            return f"[{IPv6Address(ipv6)}]:{int(port)}"
        return f"{IPv4Address(ipv4)}:{int(port)}"

    def expected(self):
        """Describe the expected values; see `Field.expected`."""
        return "an IP number and port, such as 10.0.0.7:9000 or [fd00::7]:9000"
