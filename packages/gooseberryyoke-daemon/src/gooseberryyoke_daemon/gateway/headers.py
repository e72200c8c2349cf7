"""Headers between callers, gateways and backend servers."""

__all__ = ["end_to_end", "without"]

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_FRAMING = frozenset(("content-length", "expect"))


def end_to_end(headers):
    """
    Leave out what concerns one connection only.

    Parameters
    ----------
    headers : iterable of (str, str)
        Pairs with lower-case names.

    Returns
    -------
    list of (str, str)
    """
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | _FRAMING | named
    return [pair for pair in headers if pair[0] not in dropped]


def without(headers, *names):
    """
    Leave out headers by name.

    Parameters
    ----------
    headers : iterable of (str, str)
    *names : str

    Returns
    -------
    list of (str, str)
    """
    return [pair for pair in headers if pair[0] not in names]
