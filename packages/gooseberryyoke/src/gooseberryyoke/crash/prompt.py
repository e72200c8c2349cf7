"""Which parts of its prompt a request shares with others."""

__all__ = ["shared_parts"]

_MOST_PARTS = 64
"""Of one prompt that are looked at; a longer header must not cost more than others."""
_LONGEST_ID = 64


def shared_parts(header):
    """
    Read the parts of a prompt, but for the last one, which no other request has.

    Parameters
    ----------
    header : str or None
        Entries of an id and a number of tokens with a colon between them, divided by
        commas.

    Returns
    -------
    tuple of str
        Ids in order, each once; those that can't be read are left out.

    Examples
    --------
    >>> shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    """
    if not header:
        return ()
    ids = [entry.partition(":")[0].strip() for entry in header.split(",")[:-1]]
    readable = (id for id in ids if 0 < len(id) <= _LONGEST_ID and id.isalnum())
    return tuple(dict.fromkeys(readable))[:_MOST_PARTS]
