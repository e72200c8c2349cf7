from types import SimpleNamespace

import pytest
import trio
import trio.testing
from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.retry import RetryBudget
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.entry.retry import Retry


def exchange():
    return SimpleNamespace(
        bundle=SimpleNamespace(retries=SimpleNamespace(ratio=0.1, attempts=3)),
        server=SimpleNamespace(name="s1"),
        attempts=1,
        verdict=Verdict.MAY_HAVE_RUN,
        repeatable=True,
        deadline_s=8.0,
        number="a1",
    )


@pytest.mark.parametrize("reason", ["all-tried", "servers-paused"])
def test_a_request_that_may_have_run_is_not_called_refused_for_want_of_a_server(reason):
    # Guards against 503, which callers take for a promise that nothing has run, after
    # a first server has failed the request.
    failed = Failure(Refusal(Verdict.MAY_HAVE_RUN, 502, "server-unavailable", "x", 1.0))
    none_left = Failure(Refusal(Verdict.MAY_HAVE_RUN, 503, reason, "x", 2.0))
    results = [failed, none_left]

    async def proceed():
        return results.pop(0)

    async def main():
        result = await Retry(RetryBudget(), Clock())(exchange(), proceed)
        assert result.failure().status == 502
        assert results == []

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("reason", ["request-suspected", "request-quarantined"])
def test_a_request_that_ends_servers_is_not_tried_until_the_budget_is_spent(reason):
    # Guards against attempts that reach no server and take the budget of the others.
    refused = Failure(Refusal(Verdict.MAY_HAVE_RUN, 502, reason, "x", 1.0))
    calls = []

    async def proceed():
        calls.append(1)
        return refused

    async def main():
        result = await Retry(RetryBudget(), Clock())(exchange(), proceed)
        assert result is refused
        assert len(calls) == 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
