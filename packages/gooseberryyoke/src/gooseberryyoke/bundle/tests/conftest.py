from pathlib import Path

import pytest

from gooseberryyoke.bundle import parse_bundle

EXAMPLES = Path(__file__).parents[6] / "examples"


@pytest.fixture(scope="session")
def celins_text():
    return (EXAMPLES / "celins" / "bundle.yaml").read_text(encoding="utf-8")


@pytest.fixture(scope="session")
def celins_bundle(celins_text):
    return parse_bundle(celins_text).unwrap()


@pytest.fixture(scope="session", params=["celins", "austral"])
def example_bundle(request):
    text = (EXAMPLES / request.param / "bundle.yaml").read_text(encoding="utf-8")
    return parse_bundle(text).unwrap()
