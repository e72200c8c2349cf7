"""HTTP with JSON to one entry, on the standard library."""

import json
from http.client import HTTPConnection, HTTPException, HTTPSConnection
from ssl import create_default_context

from gooseberryyoke_client.exceptions import EntryUnreachableError

__all__ = ["HttpTransport"]

_MOST_ANSWER_BYTES = 64 * 1024 * 1024
_MOST_LINE_BYTES = 1024 * 1024
# The entry writes a line at least every five seconds.
_WATCH_TIMEOUT_S = 15.0


class HttpTransport:
    """Sends requests to entries; over TLS once told whom to trust."""

    def __init__(self):
        self._context = None

    def trust(self, ca_file):
        """
        Use TLS with entries whose certificates an authority has signed.

        Parameters
        ----------
        ca_file : str
            Certificates of the authority in PEM.

        Raises
        ------
        OSError
            If the file holds no such certificates.
        """
        self._context = create_default_context(cafile=ca_file)

    def send(self, address, method, path, payload, timeout_s):
        """
        Send one request and read the answer.

        Parameters
        ----------
        address : str
            ``host:port``.
        method, path : str
        payload : object or None
            Sent as JSON.
        timeout_s : float
            For each wait on the network.

        Returns
        -------
        status : int
        payload : object
            The answer's JSON.

        Raises
        ------
        EntryUnreachableError
            If no whole answer came.
        """
        conn = self._connect(address, timeout_s)
        try:
            reply = _exchange(conn, method, path, payload)
            return reply.status, _read_json(reply)
        except (OSError, HTTPException, ValueError) as exc:
            raise EntryUnreachableError(f"{address}: {_reason(exc)}") from exc
        finally:
            conn.close()

    def lines(self, address, path):
        """
        Read an endless answer of JSON lines.

        Parameters
        ----------
        address, path : str

        Yields
        ------
        dict

        Raises
        ------
        EntryUnreachableError
            If the entry can't be reached, refuses, or goes silent.
        """
        conn = self._connect(address, _WATCH_TIMEOUT_S)
        try:
            reply = _exchange(conn, "GET", path, None)
            if reply.status != 200:
                detail = f"status {reply.status}: {_read_json(reply)['detail']}"
                raise EntryUnreachableError(f"{address}: {detail}")
            while line := reply.readline(_MOST_LINE_BYTES):
                yield json.loads(line)
        except (OSError, HTTPException, ValueError, LookupError) as exc:
            raise EntryUnreachableError(f"{address}: {_reason(exc)}") from exc
        finally:
            conn.close()

    def _connect(self, address, timeout_s):
        host, _, port = address.rpartition(":")
        host, port = host.strip("[]"), int(port)
        if self._context is None:
            return HTTPConnection(host, port, timeout=timeout_s)
        return HTTPSConnection(host, port, timeout=timeout_s, context=self._context)


def _exchange(conn, method, path, payload):
    body = None if payload is None else json.dumps(payload).encode()
    headers = {"content-type": "application/json"} if body else {}
    conn.request(method, path, body, headers)
    return conn.getresponse()


def _read_json(reply):
    body = reply.read(_MOST_ANSWER_BYTES + 1)
    if len(body) > _MOST_ANSWER_BYTES:
        raise ValueError(f"answer over {_MOST_ANSWER_BYTES} bytes")
    payload = json.loads(body)
    if not isinstance(payload, dict):
        raise ValueError(f"found a {type(payload).__name__}, expected a JSON object")
    return payload


def _reason(exc):
    return getattr(exc, "strerror", None) or str(exc) or type(exc).__name__
