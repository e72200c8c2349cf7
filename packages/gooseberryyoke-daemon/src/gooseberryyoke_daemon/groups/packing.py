"""Long lists of small numbers, as texts short enough to be sent often."""

from base64 import b64decode, b64encode
from zlib import compress, decompress, error as zlib_error

import orjson

__all__ = ["pack", "unpack"]


def pack(value):
    """
    Pack a JSON-able value.

    Parameters
    ----------
    value : object

    Returns
    -------
    str
    """
    return b64encode(compress(orjson.dumps(value))).decode("ascii")


def unpack(text):
    """
    Undo `pack`.

    Parameters
    ----------
    text : str

    Returns
    -------
    object

    Raises
    ------
    ValueError
        If the text is none that `pack` has made.
    """
    try:
        return orjson.loads(decompress(b64decode(text, validate=True)))
    except (TypeError, ValueError, zlib_error) as exc:
        raise ValueError(f"found {text!r:.40}, expected a packed value") from exc
