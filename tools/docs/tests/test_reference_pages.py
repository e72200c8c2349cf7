import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]


@pytest.mark.parametrize("name", ["settings.md", "bundle-reference.md", "metrics.md"])
def test_reference_pages_follow_the_definitions(name):
    command = [sys.executable, "-m", "tools.docs.reference", "--check", name]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout + run.stderr
