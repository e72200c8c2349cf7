"""Files that the commands read and write."""

import json
import os
from pathlib import Path

from returns.result import Failure, Success

from gooseberryyoke.bundle import Envelope
from gooseberryyoke.document import Mistake

__all__ = ["read_envelope", "read_text", "write_new", "write_over"]

_PRIVATE_MODE = 0o600
_PUBLIC_MODE = 0o644


def read_text(path):
    """
    Read a text file.

    Parameters
    ----------
    path : str

    Returns
    -------
    returns.result.Result
        ``Success`` of the text, or ``Failure`` of a list of one `Mistake`.
    """
    try:
        return Success(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        detail = f"{exc.strerror or type(exc).__name__}, expected a readable file"
    except UnicodeDecodeError as exc:
        detail = f"byte {exc.start} is no UTF-8, expected a text file"
    return Failure([Mistake(str(path), 0, detail)])


def read_envelope(path):
    """
    Read a signed bundle as ``gooseberryyoke sign`` writes it.

    Parameters
    ----------
    path : str

    Returns
    -------
    returns.result.Result
        ``Success`` of an `Envelope`, or ``Failure`` of a list of one `Mistake`.
    """
    return read_text(path).bind(lambda text: _parse_envelope(path, text))


def _parse_envelope(path, text):
    try:
        payload = json.loads(text)
    except ValueError as exc:
        detail = f"{exc}, expected the file that `gooseberryyoke sign` writes"
        return Failure([Mistake(str(path), 0, detail)])
    return Envelope.from_payload(payload).alt(
        lambda detail: [Mistake(str(path), 0, detail)]
    )


def write_new(path, text, private):
    """
    Write a file that doesn't exist yet, so that no key is ever overwritten.

    Parameters
    ----------
    path : pathlib.Path
    text : str
    private : bool
        Whether only the owner may read it.

    Returns
    -------
    returns.result.Result
        ``Success`` of the path, or ``Failure`` of a list of one `Mistake`.
    """
    mode = _PRIVATE_MODE if private else _PUBLIC_MODE
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        return Failure([Mistake(str(path), 0, "exists, expected a new file")])
    except OSError as exc:
        detail = f"{exc.strerror or type(exc).__name__}, expected a writable folder"
        return Failure([Mistake(str(path), 0, detail)])
    return Success(path)


def write_over(path, text):
    """
    Replace a file as a whole; a crash leaves the old or the new one.

    Parameters
    ----------
    path : pathlib.Path
    text : str

    Returns
    -------
    returns.result.Result
        As of `write_new`.
    """
    temporary = path.with_name(f"{path.name}.new")
    try:
        temporary.write_text(text, encoding="utf-8")
        os.replace(temporary, path)
    except OSError as exc:
        detail = f"{exc.strerror or type(exc).__name__}, expected a writable folder"
        return Failure([Mistake(str(path), 0, detail)])
    return Success(path)
