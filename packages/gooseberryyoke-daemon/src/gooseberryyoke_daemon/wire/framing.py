"""How the end of a message's body is told (RFC 9112, section 6)."""

from enum import Enum

__all__ = ["Framing", "framing_of_response"]

_BODYLESS = (204, 304)


class Framing(Enum):
    """What tells that a body is whole."""

    LENGTH = "length"
    """The head gives the length."""
    CHUNKED = "chunked"
    """A last chunk follows the body."""
    CLOSE = "close"
    """The connection ends: nothing tells a body that was cut off from a whole one."""

    @property
    def tells_end(self):
        """Whether a body that was cut off can be told from a whole one."""
        return self is not Framing.CLOSE


def framing_of_response(method, status, headers):
    """
    Tell how a response ends.

    Parameters
    ----------
    method : str
        Of the request.
    status : int
    headers : iterable of (str, str)
        Pairs with lower-case names, as received.

    Returns
    -------
    Framing
    """
    if method == "HEAD" or status in _BODYLESS:
        return Framing.LENGTH
    names = {name for name, _ in headers}
    if "transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if "content-length" in names else Framing.CLOSE
