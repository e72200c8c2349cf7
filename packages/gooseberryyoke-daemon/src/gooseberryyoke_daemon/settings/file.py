"""Reading of text files that settings name."""

from returns.result import Failure, Success

from gooseberryyoke.document import Mistake

__all__ = ["read_text"]


def read_text(path):
    """
    Read a text file.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    returns.result.Result
        ``Success`` of the text, or ``Failure`` of a list of one `Mistake`.
    """
    try:
        return Success(path.read_text(encoding="utf-8"))
    except OSError as exc:
        reason = exc.strerror or type(exc).__name__
        return Failure([Mistake("", 0, f"{path}: {reason}, expected a readable file")])
    except UnicodeDecodeError as exc:
        detail = f"{path}: byte {exc.start} is no UTF-8, expected a text file"
        return Failure([Mistake("", 0, detail)])
