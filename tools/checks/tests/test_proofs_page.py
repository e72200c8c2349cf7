import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT))

from tools.checks.proofs import missing_tests, named_tests  # noqa: E402


def test_each_test_on_the_proofs_page_exists():
    page = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
    assert named_tests(page)
    assert missing_tests(page, ROOT) == []


def test_missing_test_is_named():
    page = "| x | `test_proofs_page.py::test_no_such` | `no_file.py::test_x` |"
    missing = ["test_proofs_page.py::test_no_such", "no_file.py::test_x"]
    assert missing_tests(page, ROOT) == missing
