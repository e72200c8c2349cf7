"""The file of the keys that sign messages between the system's processes."""

from gooseberryyoke.document import Key, MapOf, Section, Text, check_document
from gooseberryyoke_daemon.settings.file import read_text

__all__ = ["internal_keys_text", "load_internal_keys"]

_KEY_BYTES = 32
_DOCUMENT = Section(
    dict,
    Key(
        "keys",
        MapOf(
            Text(
                rf"[0-9a-f]{{{2 * _KEY_BYTES}}}",
                f"a key of {_KEY_BYTES} bytes in hexadecimal",
            ),
            min_items=1,
            max_items=8,
        ),
    ),
)


def load_internal_keys(path):
    """
    Read the internal keys.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    returns.result.Result
        ``Success`` of a dict from id to bytes; the first one signs, all are taken.
        ``Failure`` of a list with every `Mistake`.
    """
    checked = read_text(path).bind(lambda text: check_document(text, _DOCUMENT))
    return checked.map(
        lambda content: {
            name: bytes.fromhex(key) for name, key in content["keys"].items()
        }
    )


def internal_keys_text(keys):
    """
    Write internal keys as the text of a file.

    Parameters
    ----------
    keys : dict of str to bytes
        By id; the first one signs.

    Returns
    -------
    str
    """
    lines = [f"  {name}: {key.hex()}" for name, key in keys.items()]
    return "\n".join(["keys:", *lines, ""])
