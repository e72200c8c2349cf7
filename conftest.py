"""Lets tests of known faults fail, and prints them: see ``KNOWN-RED.txt``."""

from pathlib import Path

import pytest

_LIST = Path(__file__).with_name("KNOWN-RED.txt")


def _known_red():
    """Read the entries: a test's id, and indented below it what is known of it."""
    if not _LIST.exists():
        return {}
    entries, lines = {}, []
    for line in _LIST.read_text("utf-8").splitlines():
        if line and not line[0].isspace():
            lines = entries.setdefault(line.strip(), [])
        elif line.strip():
            lines.append(line.strip())
    return entries


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; one that passes has to leave the list."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            reason = "; ".join(known[item.nodeid])
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the list, so that a green run still names what is open."""
    for test, lines in _known_red().items():
        terminalreporter.write_line(f"known red: {test}")
        for line in lines:
            terminalreporter.write_line(f"    {line}")
