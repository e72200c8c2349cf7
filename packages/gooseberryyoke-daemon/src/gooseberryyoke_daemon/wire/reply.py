"""The reply to a request, read as it comes."""

import h11

from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS
from gooseberryyoke_daemon.wire.exceptions import ExchangeBroken
from gooseberryyoke_daemon.wire.framing import framing_of_response
from gooseberryyoke_daemon.wire.message import find_header

__all__ = ["Reply"]


class Reply:
    """
    Head of a reply and the way to its body.

    Parameters
    ----------
    address : Address
        Of the server.
    channel : Channel
        That carries the body.
    head : h11.Response
        As received.
    body_bytes : int
        Longest body that `read` takes.
    method : str
        Of the request.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Pairs with lower-case names.
    framing : Framing
        How the end of the body is told.
    is_complete : bool
        Whether the whole body was read.
    """

    def __init__(self, address, channel, head, body_bytes, method):
        self.status = head.status_code
        self.headers = tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        )
        self.framing = framing_of_response(method, self.status, self.headers)
        self.is_complete = False
        self._address = address
        self._channel = channel
        self._body_bytes = body_bytes

    def header(self, name, default=None):
        """See `find_header`."""
        return find_header(self.headers, name, default)

    async def chunks(self):
        """
        Give the body as it arrives; borders mean nothing.

        Yields
        ------
        bytes

        Raises
        ------
        ExchangeBroken
            If the connection ends before the body.
        """
        while not self.is_complete:
            try:
                event = await self._channel.receive()
            except (*STREAM_ERRORS, h11.RemoteProtocolError) as exc:
                raise ExchangeBroken(self._address, f"reply cut off: {exc}") from exc
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            else:
                self._check_end()
                self.is_complete = True

    def _check_end(self):
        if self._channel.is_write_broken and not self.framing.tells_end:
            detail = "connection lost while the request was sent, no end of the reply"
            raise ExchangeBroken(self._address, detail)

    async def read(self):
        """
        Read the whole body.

        Returns
        -------
        bytes

        Raises
        ------
        ExchangeBroken
            If the connection ends before the body, or the body is too long.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > self._body_bytes:
                detail = f"reply longer than {self._body_bytes} bytes"
                raise ExchangeBroken(self._address, detail)
        return bytes(body)
