"""Writes the reference pages, or with ``--check`` tells which are out of date."""

import sys
from pathlib import Path

from tools.docs.pages import PAGES

__all__ = ["main"]

_FOLDER = Path(__file__).parents[2] / "docs" / "operators"


def main(arguments):
    """
    Run as a program.

    Parameters
    ----------
    arguments : list of str
        ``--check``, then names of pages; all pages if none is named.

    Returns
    -------
    int
        Exit code: 1 if ``--check`` finds a page out of date.
    """
    check = "--check" in arguments
    names = [name for name in arguments if name != "--check"] or list(PAGES)
    stale = [name for name in names if not _is_current(name)]
    for name in stale:
        if check:
            print(
                f"docs/operators/{name} is out of date: python -m tools.docs.reference"
            )
        else:
            (_FOLDER / name).write_text(_page(name), encoding="utf-8")
            print(f"wrote docs/operators/{name}")
    return 1 if check and stale else 0


def _page(name):
    return f"{PAGES[name]()}\n"


def _is_current(name):
    path = _FOLDER / name
    return path.exists() and path.read_text(encoding="utf-8") == _page(name)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
