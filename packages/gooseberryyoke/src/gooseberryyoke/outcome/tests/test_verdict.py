import pytest

from gooseberryyoke.outcome import Verdict


@pytest.mark.parametrize(
    "first, later, both",
    [
        (Verdict.NOT_RUN, Verdict.NOT_RUN, Verdict.NOT_RUN),
        (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (Verdict.MAY_HAVE_RUN, Verdict.RAN, Verdict.RAN),
    ],
)
def test_not_run_needs_every_attempt_not_run(first, later, both):
    assert first.then(later) is both
