"""Logs that are named on the command line."""

from returns.result import Failure, Success

from gooseberryyoke_client.answer import mistakes_answer
from gooseberryyoke_client.files import read_text
from gooseberryyoke_client.story import read_lines

__all__ = ["read_logs"]


def read_logs(paths):
    """
    Read the lines of several logs.

    Parameters
    ----------
    paths : iterable of str

    Returns
    -------
    Result
        Of a tuple of the list of `LogLine` and how many lines were no log lines, or
        of the `Answer` that tells which file can't be read.
    """
    lines, skipped = [], 0
    for path in paths:
        text = read_text(path)
        if isinstance(text, Failure):
            return Failure(mistakes_answer(text.failure(), path))
        found, left = read_lines(text.unwrap().splitlines())
        lines += found
        skipped += left
    return Success((lines, skipped))
