from pathlib import Path

import pytest

from gooseberryyoke_daemon.settings import parse_settings

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "first-run.md"


def settings_blocks():
    """Give the indented blocks of the page that are settings."""
    blocks = []
    for part in PAGE.read_text(encoding="utf-8").split("\n\n"):
        lines = part.splitlines()
        if lines and lines[0].startswith("    name: "):
            blocks.append("\n".join(line[4:] for line in lines))
    return blocks


@pytest.mark.parametrize("text", settings_blocks())
def test_the_settings_of_the_first_run_are_right(text):
    parse_settings(text).unwrap()


def test_the_page_has_settings_of_an_entry_and_of_an_agent():
    roles = [parse_settings(text).unwrap().roles for text in settings_blocks()]
    assert roles == [("entry", "replica"), ("agent",)]
