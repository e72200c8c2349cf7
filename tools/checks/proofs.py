"""Reads the proofs page and tells which tests it names."""

import ast
import re
from pathlib import Path

__all__ = ["missing_tests", "named_tests"]

_NODE_ID = re.compile(r"`([\w./-]+\.py)::(\w+)`")


def named_tests(page):
    """
    List the tests that a page names as node ids in backquotes.

    Parameters
    ----------
    page : str
        Markdown.

    Returns
    -------
    list of (str, str)
        Path and name of each test.
    """
    return _NODE_ID.findall(page)


def missing_tests(page, root):
    """
    List the named tests that don't exist.

    Parameters
    ----------
    page : str
        Markdown.
    root : pathlib.Path
        Where the paths start; ``**`` is searched below it, so that a page can
        name a test file by its unique base name.

    Returns
    -------
    list of str
        Node ids.
    """
    return [
        f"{path}::{name}"
        for path, name in named_tests(page)
        if name not in _functions(_find(root, path))
    ]


def _find(root, path):
    found = [
        file
        for folder in ("packages", "examples", "tools")
        for file in (root / folder).rglob(Path(path).name)
    ]
    return found[0] if len(found) == 1 else None


def _functions(path):
    if path is None:
        return frozenset()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.walk(tree) if isinstance(node, kinds)}
