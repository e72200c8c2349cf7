"""Free ports on loopback."""

import os
import socket
from itertools import count

from gooseberryyoke_daemon.wire import Address

__all__ = ["LOOPBACK", "Ports"]

LOOPBACK = "127.0.0.1"

# Below the usual range of ephemeral ports, where a connection that some process
# opens meanwhile could take a port before its owner has started to listen.
_FIRST_PORT = 14000
_SPREAD = 15000
_STEP = 200


class Ports:
    """
    Hands out addresses that nothing listens at.

    Parameters
    ----------
    start : int, optional
        First port to try; by default it differs between processes.
    """

    def __init__(self, start=None):
        if start is None:
            start = _FIRST_PORT + os.getpid() * _STEP % _SPREAD
        self._candidates = count(start)

    def take(self):
        """
        Take the next free address.

        Returns
        -------
        Address
        """
        return next(
            Address(LOOPBACK, port) for port in self._candidates if _is_free(port)
        )


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
