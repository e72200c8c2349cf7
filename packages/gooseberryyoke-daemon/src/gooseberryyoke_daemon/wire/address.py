"""Addresses of processes: an IP number and a port."""

from gooseberryyoke.record import Record

__all__ = ["Address"]

_MAX_PORT = 65535


class Address(Record):
    """
    Where a process listens.

    Parameters
    ----------
    host : str
        IP number, without brackets.
    port : int
        TCP port, 0 for any free one.

    Examples
    --------
    >>> Address.parse("127.0.0.1:9000")
    Address(host='127.0.0.1', port=9000)
    >>> str(Address("::1", 80))
    '[::1]:80'
    """

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """
        Read an address as ``str()`` writes it.

        Parameters
        ----------
        text : str
            ``host:port``, an IPv6 number in brackets.

        Returns
        -------
        Address

        Raises
        ------
        ValueError
            If the text has another form.
        """
        host, colon, port = text.rpartition(":")
        bracketed = host.startswith("[") and host.endswith("]")
        if bracketed:
            host = host[1:-1]
        well_formed = colon and host and port.isascii() and port.isdigit()
        if not well_formed or (":" in host and not bracketed):
            raise ValueError(f"address {text!r}: expected host:port")
        if int(port) > _MAX_PORT:
            raise ValueError(f"address {text!r}: expected a port up to {_MAX_PORT}")
        return cls(host, int(port))

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
