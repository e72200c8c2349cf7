"""Parse the header that lists the parts of a request's prompt."""

__all__ = ["shared_parts"]

_MAX_PARTS = 64
"""Maximum number of parts used per prompt, so that a longer header costs no more."""
_MAX_ID_LENGTH = 64


def shared_parts(header):
    """
    Parse the prompt parts that a request may share with other requests.

    The last part is left out, as it is specific to the request.

    Parameters
    ----------
    header : str or None
        Comma-separated entries of the form ``id:tokens``.

    Returns
    -------
    tuple of str
        Unique ids in order of appearance; invalid ids are left out.

    Examples
    --------
    >>> shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    """
    if not header:
        return ()
    ids = [entry.partition(":")[0].strip() for entry in header.split(",")[:-1]]
    valid = (id for id in ids if 0 < len(id) <= _MAX_ID_LENGTH and id.isalnum())
    return tuple(dict.fromkeys(valid))[:_MAX_PARTS]
