"""Requests as servers in tests receive them that send bytes of their own."""

from gooseberryyoke_daemon.wire.channel import STREAM_ERRORS

__all__ = ["receive_request"]

_RECEIVE_BYTES = 64 * 1024


async def receive_request(stream):
    """
    Receive what fits into one packet of a request.

    Parameters
    ----------
    stream : trio.abc.Stream

    Returns
    -------
    bytes
        Empty for a connection without a request: the gateway tries whether a server
        still listens after it has broken off an answer.
    """
    try:
        return await stream.receive_some(_RECEIVE_BYTES)
    except STREAM_ERRORS:
        return b""
